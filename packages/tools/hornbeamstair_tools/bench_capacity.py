"""Measure the resource costs on which docs/CAPACITY.md is based."""

import json
from asyncio import gather, run, sleep
from collections.abc import Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic, perf_counter
from typing import Final

from aiosonic import HTTPClient

from hornbeamstair_callers.key_codec import KeyStateMachine, encode_key_command
from hornbeamstair_callers.keys import ClaimKey, KeyId
from hornbeamstair_core.codec import json_converter
from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_operators.codec import encode_change_request
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import LogEntry, VoterId
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.storage.records import encode_entry_record
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_tools.measurements import (
    Measurement,
    format_rows,
    measure_cpu_time,
    measure_memory,
)
from hornbeamstair_tools.processes import DaemonProcess
from hornbeamstair_tools.samples import (
    make_announcement,
    make_change,
    make_directory,
    make_dispatcher,
)
from hornbeamstair_upstreams.codec import decode_announcement

__all__ = ('main',)

_CUSTOMERS: Final = 210
_UPSTREAMS_PER_ZONE: Final = 400
_CURRENT_UPSTREAMS: Final = 6
_HTTP_ANNOUNCEMENTS: Final = 2000
_IDLE_SECONDS: Final = 5.0
_MICROSECONDS_PER_SECOND: Final = 1000000
_BYTES_PER_MEBIBYTE: Final = 1048576
_GROUP_NAME: Final = 'bench'


def measure_state() -> Iterator[Measurement]:
    """Measure changes and the size of the control state."""
    payloads = [
        encode_change_request(make_change(number, _CUSTOMERS))
        for number in range(1000)
    ]
    record = encode_entry_record(LogEntry(1, 1, payloads[0]))
    yield Measurement('replicated log, bytes per change', len(record), 'B')
    machine = ControlStateMachine()
    yield measure_cpu_time(
        f'apply a change, {_CUSTOMERS} customers',
        lambda count: [
            machine.apply(number, payloads[number]) for number in range(count)
        ],
        1000,
    )
    snapshot = machine.get_snapshot()
    yield Measurement(
        f'snapshot with {_CUSTOMERS} customers and 1,000 change answers',
        len(snapshot),
        'B',
    )
    yield measure_memory('memory per change answer', _apply_changes, 5000)


def _apply_changes(count: int) -> ControlStateMachine:
    machine = ControlStateMachine()
    for number in range(count):
        payload = encode_change_request(make_change(number, _CUSTOMERS))
        machine.apply(number, payload)
    return machine


def measure_log(folder: Path) -> Iterator[Measurement]:
    """Measure single commits, group commits and the start of a process."""
    yield run(_measure_commits(folder / 'one', 200, 1))
    yield run(_measure_commits(folder / 'group', 4000, 50))
    for change_count in (10000, 200000):
        yield run(_measure_start(folder / str(change_count), change_count))


async def _measure_commits(
    folder: Path, change_count: int, batch_size: int
) -> Measurement:
    voter = _start_group(folder)
    payload = encode_change_request(make_change(0, _CUSTOMERS))
    started = perf_counter()
    for _ in range(change_count // batch_size):
        await gather(*(voter.propose(payload) for _ in range(batch_size)))
    seconds = perf_counter() - started
    await voter.stop()
    name = f'elapsed per change, {batch_size} per sync'
    return Measurement(
        name, seconds * _MICROSECONDS_PER_SECOND / change_count, 'us'
    )


async def _measure_start(folder: Path, change_count: int) -> Measurement:
    voter = _start_group(folder)
    for batch in range(0, change_count, 1000):
        await gather(
            *(
                voter.propose(
                    encode_change_request(make_change(number, _CUSTOMERS)),
                )
                for number in range(batch, batch + 1000)
            ),
        )
    await voter.stop()
    started = perf_counter()
    reopened = _start_group(folder)
    seconds = perf_counter() - started
    await reopened.stop()
    return Measurement(f'start after {change_count:,} changes', seconds, 's')


def _start_group(folder: Path) -> VotingGroup:
    voter_id = VoterId('bench/1')
    node = open_node(
        _GROUP_NAME,
        voter_id,
        FileLogStorage(folder),
        ControlStateMachine(),
        (voter_id,),
        Timing(),
        Random(1),
        monotonic(),
    )
    group = VotingGroup(_GROUP_NAME, node, LocalTransport(voter_id), monotonic)
    group.start()
    return group


def measure_entry() -> Iterator[Measurement]:
    """Measure announcements, calls and leases of an entry process."""
    payload = json.dumps(json_converter.unstructure(make_announcement(0)))
    encoded = payload.encode()
    yield Measurement('bytes per announcement', len(encoded), 'B')
    directory = make_directory(_UPSTREAMS_PER_ZONE)
    yield measure_cpu_time(
        'decode and renew an announcement',
        lambda count: [
            directory.announce(decode_announcement(encoded).ok, 0)
            for _ in range(count)
        ],
        2000,
    )
    yield measure_memory('memory per upstream', make_directory, 2000)
    for upstreams in (_CURRENT_UPSTREAMS, 80, _UPSTREAMS_PER_ZONE):
        yield _measure_dispatch(upstreams)
    yield measure_cpu_time(
        'expire leases, per upstream',
        lambda count: make_directory(count).expire(0),
        _UPSTREAMS_PER_ZONE,
    )


def _measure_dispatch(upstreams: int) -> Measurement:
    dispatcher = make_dispatcher(upstreams, _CUSTOMERS)

    def dispatch(count: int) -> None:  # noqa: WPS430
        for number in range(count):
            call = dispatcher.admit(
                CustomerId(f'customer-{number % _CUSTOMERS}'),
                ServiceName('fees'),
                0.5,
            ).ok
            dispatcher.start(call, 0.5)
            dispatcher.finish(call, 0.5, failed=False)

    name = f'admit, start and finish a call, {upstreams} upstreams'
    return measure_cpu_time(name, dispatch, 1000)


def measure_keys() -> Iterator[Measurement]:
    """Measure idempotency keys."""
    commands = [
        encode_key_command(
            ClaimKey(
                KeyId(CustomerId('grinders'), f'key-{number}'),
                bytes(32),
                'entry-1',
                0,
            ),
        )
        for number in range(5000)
    ]
    record = encode_entry_record(LogEntry(1, 1, commands[0]))
    yield Measurement('replicated log, bytes per claim', len(record), 'B')
    yield measure_cpu_time(
        'apply a claim',
        lambda count: _apply_claims(commands[:count]),
        5000,
    )
    yield measure_memory(
        'memory per idempotency key',
        lambda count: _apply_claims(commands[:count]),
        5000,
    )


def _apply_claims(commands: list[bytes]) -> KeyStateMachine:
    machine = KeyStateMachine()
    for index, command in enumerate(commands):
        machine.apply(index, command)
    return machine


async def measure_process(folder: Path) -> list[Measurement]:
    """Measure an idle daemon and one that receives announcements over HTTP."""
    daemon = DaemonProcess(folder / 'daemon')
    await daemon.start()
    before = daemon.get_usage()
    await sleep(_IDLE_SECONDS)
    idle = daemon.get_usage()
    await _send_announcements(daemon)
    after = daemon.get_usage()
    await daemon.stop()
    announce_cpu_seconds = after.cpu_seconds - idle.cpu_seconds
    return [
        Measurement(
            'idle daemon, share of a core',
            100 * (idle.cpu_seconds - before.cpu_seconds) / _IDLE_SECONDS,
            '%',
        ),
        Measurement(
            'idle daemon, memory',
            idle.memory_bytes / _BYTES_PER_MEBIBYTE,
            'MiB',
        ),
        Measurement(
            'announcement over HTTP, daemon CPU',
            announce_cpu_seconds
            * _MICROSECONDS_PER_SECOND
            / _HTTP_ANNOUNCEMENTS,
            'us',
        ),
    ]


async def _send_announcements(daemon: DaemonProcess) -> None:
    url = f'{daemon.upstreams_url}/v1/announcements'
    async with HTTPClient() as client:
        for number in range(_HTTP_ANNOUNCEMENTS):
            announcement = make_announcement(number % _UPSTREAMS_PER_ZONE)
            document = json_converter.unstructure(announcement)
            response = await client.post(url, json=document)
            if not response.ok:
                raise RuntimeError(await response.text())


def main() -> None:
    """Print the table of measurements."""
    with TemporaryDirectory() as folder:
        measurements = [
            *measure_state(),
            *measure_log(Path(folder)),
            *measure_entry(),
            *measure_keys(),
            *run(measure_process(Path(folder))),
        ]
    print('| measurement | value | unit |')
    print('|---|---|---|')
    for row in format_rows(measurements):
        print(row)


if __name__ == '__main__':
    main()
