"""State machine over tables, and the encoding of their records."""

from collections.abc import Sequence
from typing import Any

from attrs import define, field

from hornbeamstair_core.codec import (
    decode_cbor,
    encode_cbor,
    make_union_converter,
)
from hornbeamstair_core.events import log_event
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_replicas.events import RecordRefusedEvent
from hornbeamstair_replicas.state_machine import StateMachine

__all__ = ('RecordCodec', 'TableStateMachine')


class RecordCodec:
    """CBOR codec of batches of records."""

    def __init__(self, records: Sequence[type[Record]]) -> None:
        """Create a codec for these record classes."""
        self.converter = make_union_converter(Record, tuple(records))

    def encode(self, batch: Sequence[Record]) -> bytes:
        """Encode a batch that is committed as one log entry."""
        return encode_cbor(
            [self.converter.unstructure(record, Record) for record in batch],
        )

    def decode(self, payload: bytes) -> list[Record]:
        """Decode a batch of records."""
        decoded: list[Any] = decode_cbor(payload)
        return [self.converter.structure(fields, Record) for fields in decoded]


@define(eq=False)
class TableStateMachine(StateMachine):
    """State machine that applies each record to its table."""

    tables: tuple[RecordTable, ...]
    codec: RecordCodec = field(init=False)
    tables_by_record: dict[type[Record], RecordTable] = field(
        factory=dict,
        init=False,
    )

    def __attrs_post_init__(self) -> None:
        """Map each record class to its table and create the codec."""
        for table in self.tables:
            self.tables_by_record.update(dict.fromkeys(table.records, table))
        self.codec = RecordCodec(tuple(self.tables_by_record))

    def apply(self, index: int, payload: bytes) -> object:
        """Apply a batch of records; return their answers in order.

        Every process refuses the same records, so that their tables stay
        equal.
        """
        return [
            self._apply_record(index, record)
            for record in self.codec.decode(payload)
        ]

    def get_snapshot(self) -> bytes:
        """Encode the state of all tables."""
        return encode_cbor(
            {
                table.name: self.codec.converter.unstructure(table.get_state())
                for table in self.tables
            },
        )

    def restore(self, state: bytes) -> None:
        """Restore all tables; a table missing in the state becomes empty."""
        states = decode_cbor(state) if state else {}
        for table in self.tables:
            fields = states.get(table.name)
            table.restore_state(self._decode_state(table, fields))

    def _apply_record(self, index: int, record: Record) -> object:
        try:
            return self.tables_by_record[type(record)].apply(record)
        except (LookupError, TypeError, ValueError) as error:
            log_event(RecordRefusedEvent(index, record.kind, repr(error)))
            return None

    def _decode_state(self, table: RecordTable, fields: Any) -> Any:
        if fields is None:
            return None
        return self.codec.converter.structure(fields, table.state_class)
