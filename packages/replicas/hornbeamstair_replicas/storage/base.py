"""Abstract base class of log storages."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    StoredLog,
    VoteRecord,
)

__all__ = ('LogCorruptedError', 'LogStorage', 'StorageError')


class StorageError(Exception):
    """Failed write or sync, or a storage that is closed."""


class LogCorruptedError(StorageError):
    """Stored log that is damaged other than by a torn tail."""


class LogStorage(ABC):
    """Storage of one log; writes are durable only after `sync`."""

    @abstractmethod
    def load(self) -> StoredLog:
        """Load the stored log; LogCorruptedError if it is damaged."""

    @abstractmethod
    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries after the last one; StorageError on failure."""

    @abstractmethod
    def truncate(self, first_index: int) -> None:
        """Remove all entries from an index on."""

    @abstractmethod
    def write_vote(self, vote: VoteRecord) -> None:
        """Write the current term and vote."""

    @abstractmethod
    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot; remove the entries that it covers."""

    @abstractmethod
    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot in place of the whole log.

        Until it is durable, the log before it is.
        """

    @abstractmethod
    def sync(self) -> None:
        """Make all writes durable; StorageError if the sync fails."""

    @abstractmethod
    def reopen(self) -> None:
        """Take writes again after a failure; StorageError if it persists.

        Nothing that was written is lost, and what is not yet durable is with
        the next sync.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the files."""
