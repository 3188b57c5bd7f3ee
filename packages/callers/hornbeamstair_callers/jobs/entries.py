"""Batches of records that share an entry of the log."""

from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_core.records import Record

__all__ = ('GrowingEntry', 'RecordEntries')

# A message between voters carries 256 entries, in 4 MiB at the most; a record
# of a run takes about 120 bytes.
_MAX_RECORDS: Final = 64


@define(eq=False)
class GrowingEntry:
    """Entry that takes batches until it is written."""

    batches: list[CommitBatch] = field(factory=list)
    records: int = 0
    is_closed: bool = False

    def add(self, batch: CommitBatch) -> None:
        """Take a batch."""
        self.batches.append(batch)
        self.records += len(batch.records)

    def has_room(self, batch: CommitBatch) -> bool:
        """Tell whether a batch may still come in."""
        records = self.records + len(batch.records)
        return not self.is_closed and records <= _MAX_RECORDS

    def close(self) -> list[Record]:
        """Take no more; get the records in the order of their decisions."""
        self.is_closed = True
        return [record for batch in self.batches for record in batch.records]


@define(eq=False)
class RecordEntries:
    """Entries that are to be written.

    Answers a load of many small events: an entry costs the leader and each
    other voter more than the few records of an event.
    """

    latest: GrowingEntry | None = None

    def add(self, batch: CommitBatch) -> GrowingEntry | None:
        """Take a batch; return its entry if that is to be proposed yet."""
        if self.latest is not None and self.latest.has_room(batch):
            self.latest.add(batch)
            return None
        self.latest = GrowingEntry()
        self.latest.add(batch)
        return self.latest

    def clear(self) -> None:
        """Add to no entry of a former term."""
        self.latest = None
