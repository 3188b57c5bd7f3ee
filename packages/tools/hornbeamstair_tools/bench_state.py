"""Benchmark of the replicated state with real processes and disks."""

import json
import sys
from asyncio import gather, run, sleep, timeout
from pathlib import Path
from tempfile import TemporaryDirectory
from time import perf_counter
from typing import Any, Final

from aiosonic import HTTPClient

from hornbeamstair_core.codec import json_converter
from hornbeamstair_tools.bench_capacity import measure_log
from hornbeamstair_tools.deployment import Deployment, ProcessPlan
from hornbeamstair_tools.measurements import format_rows
from hornbeamstair_tools.network_usage import get_loopback_bytes
from hornbeamstair_tools.processes import OPERATORS_TOKEN, DaemonProcess
from hornbeamstair_tools.samples import make_contract

__all__ = ('main',)

_ZONES: Final = ('muscat', 'nizwa', 'sohar')
_VOTERS: Final = 3
_PROCESS_COUNTS: Final = (3, 7, 11)
_IDLE_SECONDS: Final = 10.0
_CHANGE_COUNT: Final = 30
_POLL_SECONDS: Final = 0.02
# One deployment takes about 20 s; all three stay under three minutes.
_TIMEOUT_SECONDS: Final = 55.0
_HEADERS: Final = {'authorization': f'Bearer {OPERATORS_TOKEN}'}
_TABLE_HEADER: Final = (
    '| processes | in force everywhere, median s | maximum s | '
    'idle leader CPU % | idle learner CPU % | idle KB/s per process | '
    'leader CPU ms per change | leader MiB |\n'
    '|---|---|---|---|---|---|---|---|'
)


async def _measure(folder: Path, count: int) -> str:
    deployment = Deployment(folder, _get_plans(count))
    try:
        async with timeout(_TIMEOUT_SECONDS):
            await deployment.start()
            return await _measure_running(deployment, count)
    finally:
        await deployment.kill()


async def _measure_running(deployment: Deployment, count: int) -> str:
    await sleep(2)
    async with HTTPClient() as client:
        leader = await _find_leader(client, deployment)
    learner = list(deployment.daemons.values())[-1]
    before = [daemon.get_usage() for daemon in (leader, learner)]
    bytes_before = get_loopback_bytes()
    await sleep(_IDLE_SECONDS)
    idle_bytes = get_loopback_bytes() - bytes_before
    after = [daemon.get_usage() for daemon in (leader, learner)]
    # A new client: the daemons have closed the idle connections of the first.
    async with HTTPClient() as client:
        latencies = [
            await _time_change(client, deployment, leader, number)
            for number in range(_CHANGE_COUNT)
        ]
        leader_usage = leader.get_usage()
    latencies.sort()
    cpu_percents = [
        100 * (last.cpu_seconds - first.cpu_seconds) / _IDLE_SECONDS
        for first, last in zip(before, after, strict=True)
    ]
    change_cpu_seconds = leader_usage.cpu_seconds - after[0].cpu_seconds
    cells = (
        str(count),
        f'{latencies[len(latencies) // 2]:.3f}',
        f'{latencies[-1]:.3f}',
        f'{cpu_percents[0]:.2f}',
        f'{cpu_percents[1]:.2f}',
        f'{idle_bytes / _IDLE_SECONDS / count / 1000:.2f}',
        f'{change_cpu_seconds * 1000 / _CHANGE_COUNT:.1f}',
        f'{leader_usage.memory_bytes / 2**20:.0f}',
    )
    return f'| {" | ".join(cells)} |'


def _get_plans(count: int) -> tuple[ProcessPlan, ...]:
    return tuple(
        ProcessPlan(
            f'{_ZONES[number % 3]}-{number // 3 + 1}',
            _ZONES[number % 3],
            is_voter=number < _VOTERS,
        )
        for number in range(count)
    )


async def _get_status(client: HTTPClient, daemon: DaemonProcess) -> Any:
    url = f'{daemon.operators_url}/v1/status'
    response = await client.get(url, headers=_HEADERS)
    return json.loads(await response.content())


async def _find_leader(
    client: HTTPClient,
    deployment: Deployment,
) -> DaemonProcess:
    for daemon in deployment.daemons.values():
        status = await _get_status(client, daemon)
        if status['groups'][0]['role'] == 'leader':
            return daemon
    raise RuntimeError('no process has the leader role')


async def _time_change(
    client: HTTPClient,
    deployment: Deployment,
    leader: DaemonProcess,
    number: int,
) -> float:
    contract = json_converter.unstructure(make_contract(number))
    response = await client.post(
        f'{leader.operators_url}/v1/changes',
        headers=_HEADERS,
        json={
            'request_id': f'bench-{number}',
            'change': {'kind': 'apply_contract', 'contract': contract},
        },
    )
    accepted = json.loads(await response.content())
    started = perf_counter()
    while True:
        statuses = await gather(
            *(
                _get_status(client, daemon)
                for daemon in deployment.daemons.values()
            ),
        )
        lowest_revision = min(status['revision'] for status in statuses)
        if lowest_revision >= accepted['revision']:
            return perf_counter() - started
        await sleep(_POLL_SECONDS)


def main() -> None:
    """Print a table for the log and one for the deployments."""
    with TemporaryDirectory() as folder:
        root = Path(folder)
        print('| measurement | value | unit |\n|---|---|---|')
        for row in format_rows(list(measure_log(root / 'log'))):
            print(row)
        print(_TABLE_HEADER)
        for count in _PROCESS_COUNTS:
            print(f'measuring {count} processes', file=sys.stderr, flush=True)
            print(run(_measure(root / str(count), count)), flush=True)


if __name__ == '__main__':
    main()
