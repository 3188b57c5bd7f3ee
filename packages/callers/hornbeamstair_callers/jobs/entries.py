"""Batching of records into entries of the replicated log."""

from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_core.records import Record

__all__ = ('EntryBuilder', 'EntryCollector')

# A message between voters carries up to 256 entries and 4 MiB; the record of
# a run takes about 120 bytes.
_MAX_RECORDS: Final = 64


@define(eq=False)
class EntryBuilder:
    """Log entry that accepts batches until it is written."""

    batches: list[CommitBatch] = field(factory=list)
    records: int = 0
    is_closed: bool = False

    def add(self, batch: CommitBatch) -> None:
        """Add a batch."""
        self.batches.append(batch)
        self.records += len(batch.records)

    def has_room(self, batch: CommitBatch) -> bool:
        """Return whether a batch still fits."""
        records = self.records + len(batch.records)
        return not self.is_closed and records <= _MAX_RECORDS

    def close(self) -> list[Record]:
        """Accept no more batches; get the records in order of decision."""
        self.is_closed = True
        return [record for batch in self.batches for record in batch.records]


@define(eq=False)
class EntryCollector:
    """Collects batches into entries.

    Under a load of many small events an entry costs the leader and each
    other voter more than the few records of an event.
    """

    open_entry: EntryBuilder | None = None

    def add(self, batch: CommitBatch) -> EntryBuilder | None:
        """Add a batch; return its entry if it is new and must be proposed."""
        if self.open_entry is not None and self.open_entry.has_room(batch):
            self.open_entry.add(batch)
            return None
        self.open_entry = EntryBuilder()
        self.open_entry.add(batch)
        return self.open_entry

    def clear(self) -> None:
        """Forget the open entry; the next term begins a new one."""
        self.open_entry = None
