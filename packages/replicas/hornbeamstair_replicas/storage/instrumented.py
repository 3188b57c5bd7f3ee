"""Log storage wrapper that measures writes and syncs."""

from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_replicas.events import LogLoadEvent
from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    StoredLog,
    VoteRecord,
)
from hornbeamstair_replicas.storage.base import LogStorage

__all__ = ('InstrumentedStorage',)

# One event per second shows the disk load; more would slow the event loop.
_REPORT_SECONDS: Final = 1.0


@define(eq=False)
class InstrumentedStorage(LogStorage):
    """Wrapper that counts entries and times the syncs of a storage."""

    group: str
    storage: LogStorage
    metrics: Metrics
    get_time: Callable[[], float]
    reported_at: float = field(default=0, init=False)
    entries: int = field(default=0, init=False)
    syncs: int = field(default=0, init=False)
    sync_seconds: float = field(default=0, init=False)

    def load(self) -> StoredLog:
        """Load the stored log; LogCorruptedError if it is damaged."""
        return self.storage.load()

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries after the last one; StorageError on failure."""
        self.entries += len(entries)
        self.storage.append(entries)

    def truncate(self, first_index: int) -> None:
        """Remove all entries from an index on."""
        self.storage.truncate(first_index)

    def write_vote(self, vote: VoteRecord) -> None:
        """Write the current term and vote."""
        self.storage.write_vote(vote)

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot; remove the entries that it covers."""
        self._time_snapshot(self.storage.write_snapshot, snapshot)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot in place of the whole log."""
        self._time_snapshot(self.storage.install_snapshot, snapshot)

    def sync(self) -> None:
        """Make all writes durable; StorageError if the sync fails."""
        started_at = self.get_time()
        self.storage.sync()
        now = self.get_time()
        self.syncs += 1
        self.sync_seconds += now - started_at
        self.metrics.log_writes.labels('sync').observe(now - started_at)
        if now - self.reported_at >= _REPORT_SECONDS:
            self._report(now)

    def reopen(self) -> None:
        """Take writes again after a failure; StorageError if it persists."""
        self.storage.reopen()

    def close(self) -> None:
        """Close the files."""
        self.storage.close()

    def _time_snapshot(
        self,
        write: Callable[[Snapshot], None],
        snapshot: Snapshot,
    ) -> None:
        started_at = self.get_time()
        write(snapshot)
        self.metrics.log_writes.labels('snapshot').observe(
            self.get_time() - started_at,
        )

    def _report(self, now: float) -> None:
        log_event(
            LogLoadEvent(
                self.group,
                self.entries,
                self.syncs,
                to_milliseconds(self.sync_seconds),
                to_milliseconds((now - self.reported_at)),
            ),
        )
        self.reported_at = now
        self.entries = 0
        self.syncs = 0
        self.sync_seconds = 0
