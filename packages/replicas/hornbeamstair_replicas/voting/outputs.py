"""Outputs of a voter: writes, then messages that need them synced."""

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
    """Remove stored entries from an index on."""

    first_index: int


@frozen
class StoreVote(Effect):
    """Store the term and vote."""

    vote: VoteRecord


@frozen
class StoreSnapshot(Effect):
    """Store a snapshot received from the leader and restore from it."""

    snapshot: Snapshot


@frozen
class SendMessage(Effect):
    """Send a message to another voter."""

    receiver: VoterId
    message: VoterMessage


WriteEffect = StoreEntries | TruncateEntries | StoreVote | StoreSnapshot


@define
class Outputs:
    """Writes to sync first, then messages to send."""

    writes: list[WriteEffect] = field(factory=list)
    messages: list[SendMessage] = field(factory=list)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to do."""
        return not (self.writes or self.messages)
