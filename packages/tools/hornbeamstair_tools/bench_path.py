"""Bench of the path: calls through the daemon against calls sent directly."""

import sys
from asyncio import run, sleep
from asyncio.subprocess import Process, create_subprocess_exec
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

from yaml import safe_dump

from hornbeamstair_tools.load import LoadPlan, LoadReport, run_load
from hornbeamstair_tools.processes import DaemonProcess, get_free_port

__all__ = ('main', 'make_contract', 'start_stand_in')

_SECONDS: Final = 3.0
_CALLERS: Final = (1, 16)
_SLOTS: Final = 64
_MILLISECONDS: Final = 1000
_KEYED: Final = 'daemon, keyed'
_MEDIAN: Final = 0.5
_TAIL: Final = 0.99
_HEAD: Final = (
    f'{"path":22} {"callers":>8} {"calls/s":>10} {"p50 ms":>9} '
    f'{"p99 ms":>9} daemon CPU ms a call'
)
_ROW: Final = '{0:22} {1:>8} {2:>10.0f} {3:>9.2f} {4:>9.2f} {5:>9.3f}'


def make_contract(customer: str, service: str) -> dict[str, Any]:
    """Make a contract whose limits no bench reaches."""
    return {
        'customer': customer,
        'home_zone': 'local',
        'availability': 0.99,
        'window_days': 30,
        'services': [
            {
                'service': service,
                'concurrency': 10000,
                'rate': 100000,
                'urgency': 'urgent',
                'start_within': 5,
                'idempotent': False,
            },
        ],
    }


async def start_stand_in(
    daemon: DaemonProcess,
    port: int,
    count: int = 1,
) -> Process:
    """Start stand-in upstreams as one process."""
    stand_in = await create_subprocess_exec(
        sys.executable,
        '-m',
        'hornbeamstair_tools.stand_in',
        daemon.upstreams_url,
        f'--port={port}',
        f'--slots={_SLOTS}',
        f'--count={count}',
    )
    await sleep(2)
    return stand_in


async def _bench(folder: Path) -> None:
    daemon = DaemonProcess(folder / 'daemon')
    await daemon.start()
    contract = folder / 'contract.yaml'
    contract.write_text(safe_dump(make_contract('bench', 'fees')))
    await daemon.run_client('contract', 'apply', str(contract))
    port = get_free_port()
    through_port = daemon.callers_port
    stand_in = await start_stand_in(daemon, port)
    print(_HEAD)
    for callers in _CALLERS:
        direct = await _measure(daemon, 'direct', port, callers)
        through = await _measure(daemon, 'daemon', through_port, callers)
        await _measure(daemon, _KEYED, through_port, callers)
        ratio = through.get_rate() / direct.get_rate()
        print(f'daemon to direct with {callers} callers: {ratio:.2f}')
    stand_in.terminate()
    await stand_in.wait()
    await daemon.stop()


async def _measure(
    daemon: DaemonProcess,
    name: str,
    port: int,
    callers: int,
) -> LoadReport:
    prefix = f'bench-{callers}' if name == _KEYED else ''
    before = daemon.get_usage()
    report = await run_load(
        LoadPlan(port, '/fees/post', 'bench', callers, _SECONDS, prefix),
    )
    used = daemon.get_usage().cpu_seconds - before.cpu_seconds
    if set(report.statuses) != {200}:
        raise RuntimeError(f'unexpected answers: {report.statuses}')
    print(
        _ROW.format(
            name,
            callers,
            report.get_rate(),
            report.get_quantile(_MEDIAN),
            report.get_quantile(_TAIL),
            used * _MILLISECONDS / len(report.latencies),
        ),
    )
    return report


def main() -> None:
    """Run the bench in a temporary folder."""
    with TemporaryDirectory() as folder:
        run(_bench(Path(folder)))


if __name__ == '__main__':
    main()
