"""In-memory log storage that simulates crashes and failed syncs."""

from collections.abc import Sequence

from attrs import define, field

from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    StoredLog,
    VoteRecord,
)
from hornbeamstair_replicas.storage.base import LogStorage, StorageError

__all__ = ('MemoryLogStorage',)


@define
class MemoryLogStorage(LogStorage):
    """Log storage for tests; a crash discards unsynced writes."""

    entries: list[LogEntry] = field(factory=list)
    vote: VoteRecord = field(factory=VoteRecord)
    snapshot: Snapshot | None = None
    synced: StoredLog = field(
        factory=lambda: StoredLog(VoteRecord(), None, ()),
    )
    fails_sync: bool = False
    has_failed: bool = False

    def load(self) -> StoredLog:
        """Load the stored log, including unsynced writes."""
        return StoredLog(self.vote, self.snapshot, tuple(self.entries))

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries after the last one."""
        self.entries.extend(entries)

    def truncate(self, first_index: int) -> None:
        """Remove all entries from an index on."""
        while self.entries and self.entries[-1].index >= first_index:
            self.entries.pop()

    def write_vote(self, vote: VoteRecord) -> None:
        """Write the current term and vote."""
        self.vote = vote

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot; remove the entries that it covers."""
        self.snapshot = snapshot
        self.entries = [
            entry for entry in self.entries if entry.index > snapshot.index
        ]
        self.sync()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot in place of the whole log."""
        self.entries.clear()
        self.write_snapshot(snapshot)

    def sync(self) -> None:
        """Make all writes durable; StorageError if set to fail."""
        if self.fails_sync or self.has_failed:
            self.has_failed = True
            raise StorageError('the sync failed')
        self.synced = self.load()

    def reopen(self) -> None:
        """Take writes again; StorageError while syncs are set to fail."""
        if self.fails_sync:
            raise StorageError('the sync failed')
        self.has_failed = False

    def close(self) -> None:
        """Do nothing: no files are open."""

    def crash(self) -> None:
        """Discard all writes since the last sync."""
        self.vote = self.synced.vote
        self.snapshot = self.synced.snapshot
        self.entries = list(self.synced.entries)
        self.has_failed = False
