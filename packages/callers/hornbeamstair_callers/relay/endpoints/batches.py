"""Batches of messages to other processes."""

from asyncio import get_running_loop
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId

__all__ = ('MessageBatches',)

Message = TypeVar('Message')

# Messages within this time share an envelope.
_BATCH_SECONDS: Final = 0.002


@define(eq=False)
class MessageBatches(Generic[Message]):
    """Collects messages by receiver and sends each batch as one envelope."""

    send: Callable[[VoterId, list[Message]], Any]
    pending: dict[VoterId, list[Message]] = field(factory=dict, init=False)

    def add(self, receiver: VoterId, message: Message) -> None:
        """Add a message to the next batch for its receiver."""
        if not self.pending:
            get_running_loop().call_later(_BATCH_SECONDS, self._flush)
        self.pending.setdefault(receiver, []).append(message)

    def _flush(self) -> None:
        pending = self.pending
        self.pending = {}
        for receiver, messages in pending.items():
            self.send(receiver, messages)
