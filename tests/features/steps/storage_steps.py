"""Steps with the log files on disk."""

import os
from asyncio import sleep
from collections.abc import Callable
from contextlib import ExitStack, suppress
from errno import ENOSPC
from io import FileIO
from pathlib import Path
from random import Random
from shutil import copytree, rmtree
from tempfile import TemporaryDirectory
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from attrs import define
from behave import given, then, when
from hypothesis import example, settings, strategies
from hypothesis import given as for_all

from hornbeamstair_core.codec import decode_json_mapping, decode_yaml_mapping
from hornbeamstair_operators.change_documents import decode_change_document
from hornbeamstair_replicas.codec import decode_envelope
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    VoteRecord,
    VoterId,
)
from hornbeamstair_replicas.storage.base import (
    LogCorruptedError,
    StorageError,
)
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.storage.records import encode_entry_record
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_upstreams.codec import decode_announcement
from tests.support.voters import PayloadLog

# The vote of a new segment does not fit onto the disk.
FULL_DISK_PLAN = [
    (65, 0, True),
    (165, 181, False),
    (1, 16, False),
    (170, 198, True),
]


@given('a stored log of {count:d} entries in one segment')
def store_log(context: Any, count: int) -> None:
    """Store entries in one segment."""
    _store(context, count, FileLogStorage(context.world.folder / 'log'))


@given('a stored log of {count:d} entries in segments of {size:d} bytes')
def store_segments(context: Any, count: int, size: int) -> None:
    """Store entries in several segments, with a sync each."""
    storage = FileLogStorage(context.world.folder / 'log', segment_bytes=size)
    _store(context, count, storage)


def _store(context: Any, count: int, storage: FileLogStorage) -> None:
    storage.load()
    context.entries = [
        LogEntry(index, 1, f'payload {index}'.encode())
        for index in range(1, count + 1)
    ]
    for entry in context.entries:
        storage.append([entry])
        storage.sync()
    storage.close()
    context.log_folder = storage.folder


def _get_size(entries: list[LogEntry]) -> int:
    return len(b''.join(map(encode_entry_record, entries)))


def _get_segment(context: Any) -> Path:
    segments: list[Path] = sorted(context.log_folder.glob('segment-*'))
    return segments[0]


def _load(context: Any) -> Any:
    storage = FileLogStorage(context.log_folder)
    try:
        return storage.load()
    finally:
        storage.close()


@when(
    'the file is truncated at each byte of its last two records in turn',
)
def cut_file(context: Any) -> None:
    """Load the log after each truncation."""
    path = _get_segment(context)
    content = path.read_bytes()
    tail_bytes = _get_size(context.entries[-2:])
    context.loaded = []
    first_size = len(content) - tail_bytes
    for size in range(first_size, first_size + tail_bytes):
        for other in context.log_folder.glob('segment-*'):
            other.unlink()
        path.write_bytes(content[:size])
        context.loaded.append(_load(context).entries)


@then('each truncated log loads a prefix of at least {low:d} entries')
def check_prefixes(context: Any, low: int) -> None:
    """Check the entries loaded after each truncation."""
    assert context.loaded
    for entries in context.loaded:
        assert len(entries) >= low, entries
        assert list(entries) == context.entries[: len(entries)]


@when('the {part} of record {record:d} is damaged')
def damage_record(context: Any, part: str, record: int) -> None:
    """Flip bits in one record."""
    path = _get_segment(context)
    content = bytearray(path.read_bytes())
    within = {'length': 1, 'checksum': 5, 'body': 9}[part]
    content[_get_size(context.entries[:record]) + within] ^= 0x41
    path.write_bytes(bytes(content))


@then('the log is refused as damaged')
def check_refused_log(context: Any) -> None:
    """Check that loading the log fails."""
    try:
        tail = _load(context)
    except LogCorruptedError:
        return
    raise AssertionError(f'opened with {len(tail.entries)} entries')


@when('the disk is full and {count:d} payloads are proposed')
def fill_disk(context: Any, count: int) -> None:
    """Make every write to the open segment fail like on a full disk."""
    fill_later(context, 0, count)


@when(
    'the disk accepts {accepted:d} more bytes and {count:d} payloads are '
    'proposed',
)
def fill_later(context: Any, accepted: int, count: int) -> None:
    """Make the writes of a voter fail after some bytes."""
    own = VoterId('a')
    storage = FileLogStorage(context.log_folder)
    context.disk = FaultyDisk()
    context.add_cleanup(context.disk.patch())
    node = open_node(
        'test',
        own,
        storage,
        PayloadLog(),
        (own,),
        Timing(),
        Random(1),
        monotonic(),
    )
    context.group = VotingGroup('test', node, LocalTransport(own), monotonic)
    context.world.run(_start(context.group))
    context.disk.free_bytes = accepted
    context.refused = [
        context.world.run(context.group.propose(b'x')) for _ in range(count)
    ]


@when('{seconds:d} seconds pass with a disk that refuses writes')
def wait_full(context: Any, seconds: int) -> None:
    """Let the voter try to write."""
    context.world.run(sleep(seconds))


@when('the disk accepts writes again for {seconds:d} seconds')
def free_disk(context: Any, seconds: int) -> None:
    """Accept writes without a limit."""
    context.disk.free_bytes = None
    context.world.run(sleep(seconds))


@then('{count:d} more payloads are accepted')
def check_accepted(context: Any, count: int) -> None:
    """Propose payloads one after the other."""
    for number in range(count):
        payload = f'later {number}'.encode()
        answer = context.world.run(context.group.propose(payload))
        assert answer.is_ok(), answer


@then('the log opens again with the {count:d} entries and all payloads')
def check_reopened(context: Any, count: int) -> None:
    """Load the log like a restarted process."""
    applied = context.group.node.state_machine.payloads
    context.world.run(context.group.stop())
    loaded = _load(context).entries
    assert list(loaded[:count]) == context.entries
    payloads = [
        entry.payload for entry in loaded if entry.kind == EntryKind.payload
    ]
    assert payloads == applied, payloads
    assert payloads[-1] == b'later 2', payloads


@then(
    'hypothesis finds no writes and failures after which a record is missing',
)
def check_failures(context: Any) -> None:
    """Write entries to a disk that fails, and reopen it until they are kept."""
    sizes = strategies.integers(1, 300)
    limits = strategies.integers(0, 400)
    actions = strategies.lists(
        strategies.tuples(sizes, limits, strategies.booleans()),
        min_size=1,
        max_size=8,
    )

    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @example(FULL_DISK_PLAN)
    @for_all(actions)
    def check(plan: list[tuple[int, int, bool]]) -> None:  # noqa: WPS430
        with TemporaryDirectory() as folder:
            _check_plan(Path(folder), plan)

    check()


def _check_plan(folder: Path, plan: list[tuple[int, int, bool]]) -> None:
    storage = FileLogStorage(folder, segment_bytes=500)
    disk = FaultyDisk()
    unpatch = disk.patch()
    storage.load()
    try:
        for index, (size, limit, has_vote) in enumerate(plan, start=1):
            entry = LogEntry(index, 1, bytes(size))
            _store_until_kept(storage, disk, entry, limit, has_vote=has_vote)
            copied = FileLogStorage(Path(copytree(folder, f'{folder}-{index}')))
            loaded = copied.load()
            copied.close()
            rmtree(copied.folder)
            assert len(loaded.entries) == index, (index, len(loaded.entries))
            assert loaded.vote.term == storage.vote.term
    finally:
        unpatch()
        storage.close()


def _store_until_kept(
    storage: FileLogStorage,
    disk: 'FaultyDisk',
    entry: LogEntry,
    limit: int,
    *,
    has_vote: bool,
) -> None:
    disk.free_bytes = limit
    if has_vote:
        storage.write_vote(VoteRecord(entry.index))
    storage.append([entry])
    while True:
        try:
            storage.sync()
        except StorageError:
            disk.free_bytes = None if limit % 2 else limit + 200
            limit += 1
        else:
            return
        with suppress(StorageError):
            storage.reopen()


@define(eq=False)
class FaultyDisk:
    """Disk that takes a limited number of bytes, and then refuses writes."""

    # None: no limit.
    free_bytes: int | None = None

    def patch(self) -> Callable[[], None]:
        """Apply the limit to all segments; return what takes it off."""
        disk = self

        class LimitedFile(FileIO):  # noqa: WPS431
            """Segment on the disk."""

            def write(self, content: Any) -> int:
                """Write as many bytes as fit; OSError if none does."""
                size = disk.take(len(content))
                return super().write(content[:size])

        patched = patch(
            'hornbeamstair_replicas.storage.file.FileIO', LimitedFile
        )
        patched.start()
        return patched.stop

    def take(self, size: int) -> int:
        """Take bytes of the disk; return how many, OSError if none is free."""
        if self.free_bytes is None:
            return size
        if not self.free_bytes:
            raise OSError(ENOSPC, 'No space left on device')
        taken = min(size, self.free_bytes)
        self.free_bytes -= taken
        return taken


async def _start(group: VotingGroup) -> None:
    group.start()


@then('each proposal is refused with code {code:d}')
def check_proposals(context: Any, code: int) -> None:
    """Check the failure code of each proposal."""
    codes = {answer.error.number for answer in context.refused}
    assert codes == {code}, context.refused


@then('a later proposal is refused with code {code:d}')
def check_later(context: Any, code: int) -> None:
    """Check that the voter still refuses proposals."""
    answer = context.world.run(context.group.propose(b'y'))
    assert answer.error.number == code, answer


@when('a snapshot of entry {index:d} is written')
def write_snapshot(context: Any, index: int) -> None:
    """Write a snapshot."""
    storage = FileLogStorage(context.log_folder)
    storage.load()
    storage.write_snapshot(Snapshot(index, 1, b'state', (VoterId('a'),)))
    storage.close()


@when(
    'the process is killed at each step of installing a snapshot of entry '
    '{index:d} of term {term:d}',
)
def kill_installation(context: Any, index: int, term: int) -> None:
    """Install a snapshot in a copy of the log, up to each call of the disk."""
    context.snapshot = Snapshot(index, term, b'state', (VoterId('a'),))
    context.folders = []
    for calls in range(20):
        folder = Path(f'{context.log_folder}-{calls}')
        copytree(context.log_folder, folder)
        context.folders.append(folder)
        if not _install_until(folder, context.snapshot, calls):
            return
    raise AssertionError('the installation has more steps')


@then('each log opens with the {count:d} entries or with the snapshot alone')
def check_installed(context: Any, count: int) -> None:
    """Check the state after each kill, as a restart of the process finds it."""
    context.loaded = [
        _load(SimpleNamespace(log_folder=folder)) for folder in context.folders
    ]
    found = [
        (loaded.snapshot, len(loaded.entries)) for loaded in context.loaded
    ]
    assert set(found) == {(None, count), (context.snapshot, 0)}, found


@then('each log opens again with an entry that was appended')
def check_appended(context: Any) -> None:
    """Append an entry after each kill, and load the log again."""
    for folder, loaded in zip(context.folders, context.loaded, strict=True):
        snapshot = loaded.snapshot
        last_index = snapshot.index if snapshot else len(loaded.entries)
        storage = FileLogStorage(folder)
        storage.load()
        entry = LogEntry(last_index + 1, 2, b'appended')
        storage.append([entry])
        storage.sync()
        storage.close()
        entries = _load(SimpleNamespace(log_folder=folder)).entries
        assert entries[-1] == entry, entries
        assert len(entries) == len(loaded.entries) + 1, entries


def _install_until(folder: Path, snapshot: Snapshot, calls: int) -> bool:
    """Install a snapshot; return whether the process was killed before."""
    storage = FileLogStorage(folder)
    storage.load()
    left = iter(range(calls))

    def count_call(  # noqa: WPS430
        call: Callable[..., Any],
    ) -> Callable[..., Any]:
        def counted(*args: Any) -> Any:  # noqa: WPS430
            if next(left, None) is None:
                raise KilledError
            return call(*args)

        return counted

    with ExitStack() as stack:
        for owner, name in (
            (os, 'fdatasync'),
            (os, 'fsync'),
            (Path, 'replace'),
            (Path, 'unlink'),
        ):
            counted = count_call(getattr(owner, name))
            stack.enter_context(patch.object(owner, name, counted))
        try:
            storage.install_snapshot(snapshot)
        except KilledError:
            return True
    return False


class KilledError(Exception):
    """Kill of the process at a call."""


@when('the snapshot is damaged')
def damage_snapshot(context: Any) -> None:
    """Flip a bit of the snapshot."""
    path = context.log_folder / 'snapshot'
    content = bytearray(path.read_bytes())
    content[-1] ^= 1
    path.write_bytes(bytes(content))


@then('at most {count:d} segment files are left')
def check_segments(context: Any, count: int) -> None:
    """Count the segment files."""
    left = list(context.log_folder.glob('segment-*'))
    assert len(left) <= count, left


@then('the log opens with the snapshot and {count:d} entries')
def check_opened(context: Any, count: int) -> None:
    """Check the loaded snapshot and entries."""
    tail = _load(context)
    assert tail.snapshot.state == b'state'
    assert len(tail.entries) == count, len(tail.entries)


@then('hypothesis finds no bytes that make a message decoder raise')
def fuzz_decoders(context: Any) -> None:
    """Pass random bytes to every decoder."""
    payloads = strategies.binary(max_size=200) | strategies.text().map(
        str.encode,
    )

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @for_all(payloads)
    def check(payload: bytes) -> None:  # noqa: WPS430
        for decode in (decode_envelope, decode_announcement):
            decode(payload)
        decode_yaml_mapping(payload)
        decode_json_mapping(payload).bind(decode_change_document)

    check()


@given('a file storage with {count:d} synced entries of {size:d} bytes')
def open_file_storage(context: Any, count: int, size: int) -> None:
    """Open a storage, write entries and sync them."""
    context.file_storage = FileLogStorage(context.world.folder / 'log')
    context.file_storage.load()
    _append_entries(context, 1, count, size)
    context.file_storage.sync()
    context.synced_bytes = _count_bytes(context)


@when('{count:d} more entries of {size:d} bytes are written without a sync')
def write_entries(context: Any, count: int, size: int) -> None:
    """Write entries one by one."""
    for index in range(4, 4 + count):
        _append_entries(context, index, 1, size)


@when(
    '{count:d} more entries of {size:d} bytes are left unsynced by a kill',
)
def leave_entries(context: Any, count: int, size: int) -> None:
    """Write entries to the file without a sync."""
    write_entries(context, count, size)
    context.file_storage.close()


@then('the next start syncs the file and loads {count:d} entries')
def check_synced(context: Any, count: int) -> None:
    """Check that loading syncs the segment."""
    synced: list[str] = []
    with patch('os.fsync', lambda found: synced.append(_get_name(found))):
        tail = FileLogStorage(context.file_storage.folder).load()
    assert len(tail.entries) == count, len(tail.entries)
    first_segment = min(context.file_storage.folder.glob('segment-*'))
    assert str(first_segment) in synced, synced


@when('the storage is synced')
def sync_storage(context: Any) -> None:
    """Sync the storage."""
    context.file_storage.sync()


@then('the file has not grown')
def check_size(context: Any) -> None:
    """Check that nothing was written to the file."""
    assert _count_bytes(context) == context.synced_bytes


@then('the file holds {count:d} entries')
def check_entries(context: Any, count: int) -> None:
    """Check the number of entries in the file."""
    context.file_storage.close()
    tail = FileLogStorage(context.file_storage.folder).load()
    assert len(tail.entries) == count, len(tail.entries)


def _get_name(descriptor: int) -> str:
    return os.readlink(f'/proc/self/fd/{descriptor}')


def _append_entries(context: Any, first: int, count: int, size: int) -> None:
    context.file_storage.append(
        [
            LogEntry(index, 1, bytes(size))
            for index in range(first, first + count)
        ],
    )


def _count_bytes(context: Any) -> int:
    folder = context.file_storage.folder
    return sum(path.stat().st_size for path in folder.glob('segment-*'))
