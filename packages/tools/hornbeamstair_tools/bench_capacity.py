"""Slopes behind docs/CAPACITY.md, measured again on each run."""

import json
from asyncio import gather, run, sleep
from collections.abc import Iterator
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic, perf_counter
from typing import Final

from aiosonic import HTTPClient

from hornbeamstair_callers.key_codec import KeyStateMachine, write_key_command
from hornbeamstair_callers.keys import ClaimKey, KeyId
from hornbeamstair_core.codec import json_converter
from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_operators.codec import write_change_request
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import LogEntry, VoterId
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.storage.records import write_entry_record
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_tools.processes import DaemonProcess
from hornbeamstair_tools.samples import (
    make_announcement,
    make_change,
    make_directory,
    make_dispatcher,
)
from hornbeamstair_tools.slopes import (
    Slope,
    get_cpu_slope,
    get_memory_slope,
    get_rows,
)
from hornbeamstair_upstreams.codec import read_announcement

__all__ = ('main',)

_CUSTOMERS: Final = 210
_ZONE_UPSTREAMS: Final = 400
_TODAY_UPSTREAMS: Final = 6
_HTTP_ANNOUNCEMENTS: Final = 2000
_IDLE_SECONDS: Final = 5.0
_MICROSECONDS: Final = 1000000
_MEBIBYTE: Final = 1048576
_GROUP: Final = 'bench'


def measure_state() -> Iterator[Slope]:
    """Measure the cost of changes and of the control state."""
    payloads = [
        write_change_request(make_change(number, _CUSTOMERS))
        for number in range(1000)
    ]
    record = write_entry_record(LogEntry(1, 1, payloads[0]))
    yield Slope('bytes of a change in the log', len(record), 'B')
    machine = ControlStateMachine()
    yield get_cpu_slope(
        f'apply a change, {_CUSTOMERS} customers',
        lambda count: [
            machine.apply(number, payloads[number]) for number in range(count)
        ],
        1000,
    )
    snapshot = machine.get_snapshot()
    yield Slope(
        f'snapshot with {_CUSTOMERS} customers and 1,000 answers',
        len(snapshot),
        'B',
    )
    yield get_memory_slope('memory of a change answer', _apply_changes, 5000)


def _apply_changes(count: int) -> ControlStateMachine:
    machine = ControlStateMachine()
    for number in range(count):
        payload = write_change_request(make_change(number, _CUSTOMERS))
        machine.apply(number, payload)
    return machine


def measure_log(folder: Path) -> Iterator[Slope]:
    """Measure syncs, group commit and the time to start."""
    yield run(_measure_commits(folder / 'one', 200, 1))
    yield run(_measure_commits(folder / 'group', 4000, 50))
    for changes in (10000, 200000):
        yield run(_measure_start(folder / str(changes), changes))


async def _measure_commits(folder: Path, changes: int, group: int) -> Slope:
    voter = _open_group(folder)
    payload = write_change_request(make_change(0, _CUSTOMERS))
    started = perf_counter()
    for _ in range(changes // group):
        await gather(*(voter.propose(payload) for _ in range(group)))
    seconds = perf_counter() - started
    await voter.stop()
    name = f'elapsed a change, {group} a sync'
    return Slope(name, seconds * _MICROSECONDS / changes, 'us')


async def _measure_start(folder: Path, changes: int) -> Slope:
    voter = _open_group(folder)
    for batch in range(0, changes, 1000):
        await gather(
            *(
                voter.propose(
                    write_change_request(make_change(number, _CUSTOMERS)),
                )
                for number in range(batch, batch + 1000)
            ),
        )
    await voter.stop()
    started = perf_counter()
    reopened = _open_group(folder)
    seconds = perf_counter() - started
    await reopened.stop()
    return Slope(f'start after {changes:,} changes', seconds, 's')


def _open_group(folder: Path) -> VotingGroup:
    own = VoterId('bench/1')
    node = open_node(
        _GROUP,
        own,
        FileLogStorage(folder),
        ControlStateMachine(),
        (own,),
        Timing(),
        Random(1),
        monotonic(),
    )
    group = VotingGroup(_GROUP, node, LocalTransport(own), monotonic)
    group.start()
    return group


def measure_entry() -> Iterator[Slope]:
    """Measure the decisions of an entry process."""
    payload = json.dumps(json_converter.unstructure(make_announcement(0)))
    encoded = payload.encode()
    yield Slope('bytes of an announcement', len(encoded), 'B')
    directory = make_directory(_ZONE_UPSTREAMS)
    yield get_cpu_slope(
        'decode and renew an announcement',
        lambda count: [
            directory.announce(read_announcement(encoded).ok, 0)
            for _ in range(count)
        ],
        2000,
    )
    yield get_memory_slope('memory of an upstream', make_directory, 2000)
    for upstreams in (_TODAY_UPSTREAMS, 80, _ZONE_UPSTREAMS):
        yield _measure_dispatch(upstreams)
    yield get_cpu_slope(
        'expire leases, per upstream',
        lambda count: make_directory(count).expire(0),
        _ZONE_UPSTREAMS,
    )


def _measure_dispatch(upstreams: int) -> Slope:
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
    return get_cpu_slope(name, dispatch, 1000)


def measure_keys() -> Iterator[Slope]:
    """Measure the cost of request keys."""
    commands = [
        write_key_command(
            ClaimKey(
                KeyId(CustomerId('grinders'), f'key-{number}'),
                bytes(32),
                'entry-1',
                0,
            ),
        )
        for number in range(5000)
    ]
    record = write_entry_record(LogEntry(1, 1, commands[0]))
    yield Slope('bytes of a claim in the log', len(record), 'B')
    yield get_cpu_slope(
        'apply a claim',
        lambda count: _apply_claims(commands[:count]),
        5000,
    )
    yield get_memory_slope(
        'memory of a request key',
        lambda count: _apply_claims(commands[:count]),
        5000,
    )


def _apply_claims(commands: list[bytes]) -> KeyStateMachine:
    machine = KeyStateMachine()
    for index, command in enumerate(commands):
        machine.apply(index, command)
    return machine


async def measure_process(folder: Path) -> list[Slope]:
    """Measure a daemon at rest and under announcements over HTTP."""
    daemon = DaemonProcess(folder / 'daemon')
    await daemon.start()
    before = daemon.get_usage()
    await sleep(_IDLE_SECONDS)
    idle = daemon.get_usage()
    await _announce(daemon)
    after = daemon.get_usage()
    await daemon.stop()
    spent = after.cpu_seconds - idle.cpu_seconds
    return [
        Slope(
            'daemon at rest, share of a core',
            100 * (idle.cpu_seconds - before.cpu_seconds) / _IDLE_SECONDS,
            '%',
        ),
        Slope('daemon at rest, memory', idle.memory_bytes / _MEBIBYTE, 'MiB'),
        Slope(
            'announcement over HTTP, whole',
            spent * _MICROSECONDS / _HTTP_ANNOUNCEMENTS,
            'us',
        ),
    ]


async def _announce(daemon: DaemonProcess) -> None:
    url = f'{daemon.upstreams_url}/v1/announcements'
    async with HTTPClient() as client:
        for number in range(_HTTP_ANNOUNCEMENTS):
            announcement = make_announcement(number % _ZONE_UPSTREAMS)
            document = json_converter.unstructure(announcement)
            answer = await client.post(url, json=document)
            if not answer.ok:
                raise RuntimeError(await answer.text())


def main() -> None:
    """Print the table of slopes."""
    with TemporaryDirectory() as folder:
        slopes = [
            *measure_state(),
            *measure_log(Path(folder)),
            *measure_entry(),
            *measure_keys(),
            *run(measure_process(Path(folder))),
        ]
    print('| slope | figure | unit |')
    print('|---|---|---|')
    for row in get_rows(slopes):
        print(row)


if __name__ == '__main__':
    main()
