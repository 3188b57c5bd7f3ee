"""State machine of the idempotency keys and its CBOR encoding."""

from typing import Any, Final

from attrs import define, field

from hornbeamstair_callers.keys import (
    ClaimKey,
    KeyCommand,
    KeyId,
    KeyRecord,
    KeyTable,
    RecordOutcome,
    ReleaseKey,
)
from hornbeamstair_core.codec import make_union_converter
from hornbeamstair_replicas.state_machine import StateMachine

__all__ = ('KeyStateMachine', 'encode_key_command')


_converter: Final = make_union_converter(
    KeyCommand,
    (ClaimKey, RecordOutcome, ReleaseKey),
)


def encode_key_command(command: KeyCommand) -> bytes:
    """Encode a command for the log."""
    return _converter.dumps(command, unstructure_as=KeyCommand)


@define
class KeyStateMachine(StateMachine):
    """State machine of the idempotency keys over a replicated log."""

    table: KeyTable = field(factory=KeyTable)

    def apply(self, index: int, payload: bytes) -> KeyRecord | None:
        """Apply a committed command."""
        command_class: Any = KeyCommand
        command: KeyCommand = _converter.loads(payload, command_class)
        return command.apply(self.table)

    def get_snapshot(self) -> bytes:
        """Encode all records for a snapshot."""
        return _converter.dumps(list(self.table.records.items()))

    def restore(self, state: bytes) -> None:
        """Replace all records by those of a snapshot."""
        stored = _converter.loads(state, list[tuple[KeyId, KeyRecord]])
        self.table = KeyTable()
        self.table.records.update(stored)
