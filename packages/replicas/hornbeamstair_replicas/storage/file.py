"""Log storage in segment files in one folder."""

import os
from collections.abc import Sequence
from io import FileIO
from pathlib import Path
from typing import Final

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.step_failures import logged_failure
from hornbeamstair_core.units import MIB
from hornbeamstair_replicas.events import TornTailCutEvent
from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    StoredLog,
    VoteRecord,
)
from hornbeamstair_replicas.storage.base import (
    LogCorruptedError,
    LogStorage,
    StorageError,
)
from hornbeamstair_replicas.storage.durable_files import (
    replace_file,
    sync_path,
)
from hornbeamstair_replicas.storage.records import (
    DamagedRecord,
    StoredRecord,
    TruncationRecord,
    decode_records,
    decode_snapshot,
    encode_entry_record,
    encode_snapshot_record,
    encode_truncation_record,
    encode_vote_record,
)

__all__ = ('FileLogStorage',)

_SEGMENT_BYTES: Final = 8 * MIB
_SEGMENT_GLOB: Final = 'segment-*.log'
_SNAPSHOT_NAME: Final = 'snapshot'


@define
class FileLogStorage(LogStorage):
    """Segment files of checksummed records, and one snapshot file."""

    folder: Path
    segment_bytes: int = _SEGMENT_BYTES
    vote: VoteRecord = field(factory=VoteRecord, init=False)
    segment: FileIO | None = field(default=None, init=False)
    # Buffered until the next sync and written at once: a power loss may keep
    # later unsynced writes and lose earlier ones.
    pending: bytearray = field(factory=bytearray, init=False)
    # Written since the last sync.
    unsynced: bytearray = field(factory=bytearray, init=False)
    # Size of the open segment at the last sync.
    synced_bytes: int = field(default=0, init=False)
    segment_number: int = field(default=0, init=False)
    last_indexes: dict[int, int] = field(factory=dict, init=False)
    has_failed: bool = field(default=False, init=False)

    def load(self) -> StoredLog:
        """Load the stored log; LogCorruptedError if it is damaged."""
        self.folder.mkdir(parents=True, exist_ok=True)
        snapshot = self._load_snapshot()
        entries: list[LogEntry] = []
        paths = sorted(self.folder.glob(_SEGMENT_GLOB))
        for path in paths:
            self._load_segment(path, entries, is_last=path == paths[-1])
        if paths:
            # A killed process may have left unsynced writes, and everything
            # loaded here counts as synced from now on.
            sync_path(paths[-1])
        self._open_segment(self.segment_number + 1)
        if snapshot is not None and _is_replaced(entries, snapshot):
            # The process ended before it had truncated the log.
            entries.clear()
            self._write(encode_truncation_record(1))
            self.sync()
        first_index = 1 if snapshot is None else snapshot.index + 1
        kept = tuple(entry for entry in entries if entry.index >= first_index)
        _check_contiguous(kept, first_index)
        return StoredLog(self.vote, snapshot, kept)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries after the last one; StorageError on failure."""
        self._write(b''.join(encode_entry_record(entry) for entry in entries))
        if entries:
            self.last_indexes[self.segment_number] = entries[-1].index

    def truncate(self, first_index: int) -> None:
        """Remove all entries from an index on."""
        self._write(encode_truncation_record(first_index))

    def write_vote(self, vote: VoteRecord) -> None:
        """Write the current term and vote."""
        self.vote = vote
        self._write(encode_vote_record(vote))

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot; remove the entries that it covers."""
        self._replace_snapshot(snapshot, b'')

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot in place of the whole log."""
        self._replace_snapshot(snapshot, encode_truncation_record(1))

    def sync(self) -> None:
        """Make all writes durable; StorageError if the sync fails."""
        segment = self._get_segment()
        self._write_pending(segment)
        try:
            os.fdatasync(segment.fileno())
        except OSError as sync_error:
            raise self._set_failed(sync_error) from sync_error
        self.unsynced.clear()
        self.synced_bytes = segment.tell()
        if self.synced_bytes >= self.segment_bytes:
            self._open_segment(self.segment_number + 1)
            self._write(encode_vote_record(self.vote))

    def reopen(self) -> None:
        """Write what is not durable to a new segment, not to the failed one.

        Raises StorageError if the disk still fails.
        """
        content = bytes(self.unsynced + self.pending)
        try:
            self._cut_segment()
        except OSError as error:
            raise self._set_failed(error) from error
        # A new segment may hold any of the entries of the failed one.
        last_index = self.last_indexes.get(self.segment_number, 0)
        self.last_indexes[self.segment_number + 1] = last_index
        self._open_segment(self.segment_number + 1)
        self.has_failed = False
        self.unsynced.clear()
        self.pending = bytearray(encode_vote_record(self.vote) + content)

    def close(self) -> None:
        """Close the files."""
        if self.segment is None:
            return
        # A full disk does not keep a process from stopping as planned.
        errors = (StorageError, OSError)
        with logged_failure('closing of the log', *errors), self.segment:
            if not self.has_failed:
                self._write_pending(self.segment)
        self.segment = None

    def _replace_snapshot(self, snapshot: Snapshot, records: bytes) -> None:
        """Replace the snapshot, then begin a segment with some records."""
        self.sync()
        path = self.folder / _SNAPSHOT_NAME
        temporary = self.folder / f'{_SNAPSHOT_NAME}.draft'
        try:
            replace_file(path, temporary, encode_snapshot_record(snapshot))
        except OSError as error:
            raise self._set_failed(error) from error
        self._open_segment(self.segment_number + 1)
        self._write(encode_vote_record(self.vote) + records)
        self.sync()
        try:
            self._remove_segments(snapshot.index)
        except OSError as remove_error:
            raise self._set_failed(remove_error) from remove_error

    def _load_snapshot(self) -> Snapshot | None:
        path = self.folder / _SNAPSHOT_NAME
        if not path.exists():
            return None
        return decode_snapshot(path.read_bytes())

    def _load_segment(
        self,
        path: Path,
        entries: list[LogEntry],
        *,
        is_last: bool,
    ) -> None:
        self.segment_number = int(path.stem.rpartition('-')[-1])
        for record in decode_records(path.read_bytes()):
            if isinstance(record, DamagedRecord):
                _truncate_torn_tail(path, record, is_last=is_last)
            else:
                self._apply_record(record, entries)
        if entries:
            self.last_indexes[self.segment_number] = entries[-1].index

    def _apply_record(
        self,
        record: StoredRecord,
        entries: list[LogEntry],
    ) -> None:
        match record:
            case LogEntry():
                entries.append(record)
            case VoteRecord():
                self.vote = record
            case TruncationRecord(first_index):
                while entries and entries[-1].index >= first_index:
                    entries.pop()

    def _cut_segment(self) -> None:
        """Remove from the open segment what is not known to be durable.

        An incomplete record is accepted only at the end of the last segment.
        """
        self.close()
        path = self._get_path(self.segment_number)
        if not self.synced_bytes:
            path.unlink(missing_ok=True)
        elif path.stat().st_size >= self.synced_bytes:
            # Also where it was cut before, and the sync of that has failed.
            os.truncate(path, self.synced_bytes)
            sync_path(path)

    def _open_segment(self, number: int) -> None:
        self.close()
        self.segment_number = number
        self.synced_bytes = 0
        try:
            self.segment = FileIO(self._get_path(number), 'ab')
            sync_path(self.folder)
        except OSError as error:
            raise self._set_failed(error) from error

    def _get_path(self, number: int) -> Path:
        return self.folder / f'segment-{number:020}.log'

    def _remove_segments(self, covered_index: int) -> None:
        for path in sorted(self.folder.glob(_SEGMENT_GLOB)):
            number = int(path.stem.rpartition('-')[-1])
            last_index = self.last_indexes.get(number, 0)
            if number == self.segment_number or last_index > covered_index:
                # Keep later segments: they may truncate entries of this one.
                return
            path.unlink()
            self.last_indexes.pop(number, None)

    def _write(self, content: bytes) -> None:
        self._get_segment()
        self.pending += content

    def _write_pending(self, segment: FileIO) -> None:
        pending = bytes(self.pending)
        self.unsynced += pending
        self.pending.clear()
        try:
            while pending:
                written = segment.write(pending)
                pending = pending[written:]
        except OSError as error:
            raise self._set_failed(error) from error

    def _get_segment(self) -> FileIO:
        if self.has_failed or self.segment is None:
            raise StorageError('the log storage is closed or has failed')
        return self.segment

    def _set_failed(self, error: OSError) -> StorageError:
        # A failed sync may have dropped pages, so later syncs prove nothing.
        self.has_failed = True
        return StorageError(str(error))


def _truncate_torn_tail(
    path: Path,
    damaged: DamagedRecord,
    *,
    is_last: bool,
) -> None:
    if not (is_last and damaged.is_at_end):
        raise LogCorruptedError(
            f'{path.name} is damaged at byte {damaged.offset}',
        )
    log_event(TornTailCutEvent(path.name, damaged.offset))
    with path.open('r+b') as segment:
        segment.truncate(damaged.offset)
        os.fsync(segment.fileno())


def _is_replaced(entries: Sequence[LogEntry], snapshot: Snapshot) -> bool:
    """Return whether a snapshot is of another log than the entries."""
    return any(
        entry.index == snapshot.index and entry.term != snapshot.term
        for entry in entries
    )


def _check_contiguous(entries: tuple[LogEntry, ...], first_index: int) -> None:
    for expected_index, entry in enumerate(entries, start=first_index):
        if entry.index != expected_index:
            raise LogCorruptedError(
                f'entry {expected_index} is missing: found entry {entry.index}',
            )
