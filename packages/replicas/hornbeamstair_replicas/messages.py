"""Messages and records of the replicated log."""

from attrs import frozen

__all__ = ('LogEntry', 'LogTail', 'Snapshot', 'VoteRecord')


@frozen
class LogEntry:
    """Entry of the replicated log."""

    index: int
    term: int
    payload: bytes


@frozen
class VoteRecord:
    """Term and vote that a voter must remember across restarts."""

    term: int = 0
    voted_for: str = ''


@frozen
class Snapshot:
    """State of a state machine after the entry at an index."""

    index: int
    term: int
    state: bytes


@frozen
class LogTail:
    """What storage holds at start: a snapshot and the entries after it."""

    vote: VoteRecord
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]
