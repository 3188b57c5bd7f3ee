"""Entries, snapshots and votes of the replicated log."""

from enum import Enum
from typing import NewType

from attrs import frozen

__all__ = (
    'EntryKind',
    'LogEntry',
    'LogTail',
    'Snapshot',
    'VoteRecord',
    'VoterId',
)

# A process and the incarnation of its disk: a wiped disk is a new voter.
VoterId = NewType('VoterId', str)


class EntryKind(Enum):
    """What an entry of the log holds."""

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
    """Term and vote that a voter must remember across restarts."""

    term: int = 0
    voted_for: str = ''


@frozen
class Snapshot:
    """State and voters after the entry at an index."""

    index: int
    term: int
    state: bytes
    voters: tuple[VoterId, ...] = ()


@frozen
class LogTail:
    """What storage holds at start: a snapshot and the entries after it."""

    vote: VoteRecord
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]
