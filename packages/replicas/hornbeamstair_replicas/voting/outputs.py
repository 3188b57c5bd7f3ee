"""Outputs of a voter: writes, and messages to send after their sync."""

from attrs import define, field, frozen

from hornbeamstair_core.effects import Effect
from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    VoteRecord,
    VoterId,
)
from hornbeamstair_replicas.voting.messages import VoterMessage

__all__ = (
    'Outputs',
    'SendMessage',
    'StoreEntries',
    'StoreSnapshot',
    'StoreVote',
    'TruncateEntries',
    'WriteEffect',
)


@frozen
class StoreEntries(Effect):
    """Append entries to the stored log."""

    entries: tuple[LogEntry, ...]


@frozen
class TruncateEntries(Effect):
    """Remove all stored entries from an index on."""

    first_index: int


@frozen
class StoreVote(Effect):
    """Store the current term and the vote cast in it."""

    vote: VoteRecord


@frozen
class StoreSnapshot(Effect):
    """Store a snapshot from the leader and restore the state from it."""

    snapshot: Snapshot


@frozen
class SendMessage(Effect):
    """Send a message to another voter."""

    receiver: VoterId
    message: VoterMessage


WriteEffect = StoreEntries | TruncateEntries | StoreVote | StoreSnapshot


@define
class Outputs:
    """Writes that must be synced before the messages are sent."""

    writes: list[WriteEffect] = field(factory=list)
    messages: list[SendMessage] = field(factory=list)

    @property
    def is_empty(self) -> bool:
        """Return whether there are no writes and no messages."""
        return not (self.writes or self.messages)
