"""Entries, snapshots and votes of the replicated log."""

from enum import Enum
from typing import NewType

from attrs import frozen

__all__ = (
    'EntryKind',
    'LogEntry',
    'StoredLog',
    'Snapshot',
    'VoteRecord',
    'VoterId',
)

# Process and incarnation of its data folder, as PROCESS/INCARNATION. A process
# whose disk was wiped is a new voter, since its votes and entries are lost.
VoterId = NewType('VoterId', str)


class EntryKind(Enum):
    """Kind of content of an entry."""

    payload = 0
    voters = 1
    empty = 2


@frozen
class LogEntry:
    """Entry of the replicated log."""

    index: int
    term: int
    payload: bytes
    kind: EntryKind = EntryKind.payload
    voters: tuple[VoterId, ...] = ()


@frozen
class VoteRecord:
    """Term and vote, which a voter must persist across restarts."""

    term: int = 0
    voted_for: str = ''


@frozen
class Snapshot:
    """State and voters after the entry at an index was applied."""

    index: int
    term: int
    state: bytes
    voters: tuple[VoterId, ...] = ()


@frozen
class StoredLog:
    """Content of the storage at start: a vote, a snapshot and later entries."""

    vote: VoteRecord
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]
