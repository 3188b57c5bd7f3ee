"""Base class of log storage."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from hornbeamstair_replicas.messages import (
    LogEntry,
    LogTail,
    Snapshot,
    VoteRecord,
)

__all__ = ('LogCorruptedError', 'LogStorage', 'StorageError')


class StorageError(Exception):
    """Write or sync that the storage refused."""


class LogCorruptedError(StorageError):
    """Stored record that is damaged before the end of the log."""


class LogStorage(ABC):
    """Store of one log; what is written lasts only after sync."""

    @abstractmethod
    def load(self) -> LogTail:
        """Read what is stored; LogCorruptedError if it is damaged."""

    @abstractmethod
    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries after the last; StorageError if refused."""

    @abstractmethod
    def truncate(self, first_index: int) -> None:
        """Remove the entries from an index on."""

    @abstractmethod
    def write_vote(self, vote: VoteRecord) -> None:
        """Write the term and vote."""

    @abstractmethod
    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot and remove the entries it covers."""

    @abstractmethod
    def sync(self) -> None:
        """Make all writes last; StorageError if the disk refuses."""

    @abstractmethod
    def close(self) -> None:
        """Release the files."""
