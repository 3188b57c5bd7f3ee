"""In-memory log of a voter: its snapshot and later entries."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from itertools import accumulate

from attrs import define, field

from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_replicas.limits import MAX_BATCH_BYTES
from hornbeamstair_replicas.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    StoredLog,
    VoterId,
)

__all__ = ('EntryLog', 'open_entry_log', 'take_batch')


@define
class EntryLog:
    """Latest snapshot and the entries after it."""

    snapshot: Snapshot
    entries: list[LogEntry] = field(factory=list)
    voter_entries: list[LogEntry] = field(factory=list, init=False)
    # Running total of the payload bytes after each entry.
    totals: list[int] = field(factory=list, init=False)
    # The total before the first entry.
    base_total: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Index the entries that set the voters, and sum up the payloads."""
        self.voter_entries = _get_voter_entries(self.entries)
        self.totals = _get_totals(self.entries, self.base_total)

    @property
    def first_index(self) -> int:
        """Index of the first entry after the snapshot."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def find_term(self, index: int) -> int | None:
        """Return the term at an index; None if the entry is not in memory."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def get_slice(self, first_index: int, limit: int) -> tuple[LogEntry, ...]:
        """Return at most `limit` entries from an index on."""
        start = first_index - self.first_index
        return tuple(self.entries[start : start + limit])

    def get_batch(self, first_index: int, limit: int) -> tuple[LogEntry, ...]:
        """Return at most `limit` entries that fit into one message.

        An entry that is too large for that is returned alone.
        """
        last_total = self._get_total(first_index - 1) + MAX_BATCH_BYTES
        start = first_index - self.first_index
        end = max(bisect_right(self.totals, last_total), start + 1)
        return self.get_slice(first_index, min(limit, end - start))

    def get_bytes(self, first_index: int, last_index: int) -> int:
        """Return the payload bytes in memory between two indexes, inclusive."""
        return self._get_total(last_index) - self._get_total(first_index - 1)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries; their indexes must be contiguous."""
        for entry in entries:
            check_invariant(
                entry.index == self.last_index + 1,
                'entries are appended in order',
                f'{entry.index} after {self.last_index}',
            )
            self.entries.append(entry)
        self.totals.extend(_get_totals(entries, self._get_last_total()))
        self.voter_entries.extend(_get_voter_entries(entries))

    def truncate(self, first_index: int) -> None:
        """Remove the entries from an index on."""
        kept = first_index - self.first_index
        self.entries = self.entries[:kept]
        self.totals = self.totals[:kept]
        self.voter_entries = _get_voter_entries(self.entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries that a snapshot covers by the snapshot."""
        covered = snapshot.index - self.snapshot.index
        self.base_total = self._get_total(snapshot.index)
        self.entries = self.entries[covered:]
        self.totals = self.totals[covered:]
        self.snapshot = snapshot
        self.voter_entries = _get_voter_entries(self.entries)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.entries = []
        self.totals = []
        self.base_total = 0
        self.voter_entries = []
        self.snapshot = snapshot

    def get_voters(self) -> tuple[VoterId, ...]:
        """Return the voters as of the last entry, committed or not."""
        if self.voter_entries:
            return self.voter_entries[-1].voters
        return self.snapshot.voters

    def get_voters_index(self) -> int:
        """Return the index of the last change of the voters."""
        if self.voter_entries:
            return self.voter_entries[-1].index
        return self.snapshot.index

    def get_voters_at(self, index: int) -> tuple[VoterId, ...]:
        """Return the voters as of an index."""
        for entry in reversed(self.voter_entries):
            if entry.index <= index:
                return entry.voters
        return self.snapshot.voters

    def _get_total(self, index: int) -> int:
        """Return the total up to an index; that of the nearest one held."""
        position = min(index - self.first_index, len(self.totals) - 1)
        return self.base_total if position < 0 else self.totals[position]

    def _get_last_total(self) -> int:
        return self.totals[-1] if self.totals else self.base_total


def open_entry_log(
    stored_log: StoredLog,
    initial_voters: tuple[VoterId, ...],
) -> EntryLog:
    """Open the stored log, or an empty log with the initial voters."""
    snapshot = stored_log.snapshot or Snapshot(0, 0, b'', initial_voters)
    return EntryLog(snapshot, list(stored_log.entries))


def take_batch(entries: Iterable[LogEntry]) -> tuple[LogEntry, ...]:
    """Take the first entries that fit into one message, at least one."""
    batch: list[LogEntry] = []
    total = 0
    for entry in entries:
        total += len(entry.payload)
        if batch and total > MAX_BATCH_BYTES:
            break
        batch.append(entry)
    return tuple(batch)


def _get_voter_entries(entries: Sequence[LogEntry]) -> list[LogEntry]:
    return [entry for entry in entries if entry.kind == EntryKind.voters]


def _get_totals(entries: Iterable[LogEntry], base_total: int) -> list[int]:
    sizes = (len(entry.payload) for entry in entries)
    return list(accumulate(sizes, initial=base_total))[1:]
