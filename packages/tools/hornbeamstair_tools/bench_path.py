"""Benchmark of calls through the daemon against direct calls to upstreams."""

import sys
from asyncio import run, sleep
from asyncio.subprocess import Process, create_subprocess_exec
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

from yaml import safe_dump

from hornbeamstair_tools.load import LoadPlan, LoadReport, run_load
from hornbeamstair_tools.ports import get_free_port
from hornbeamstair_tools.processes import DaemonProcess

__all__ = ('main', 'make_contract', 'start_stand_in')

_RUN_SECONDS: Final = 3.0
_CALLER_COUNTS: Final = (1, 16)
_SLOTS: Final = 64
_MILLISECONDS_PER_SECOND: Final = 1000
_KEYED_NAME: Final = 'daemon, keyed'
_MEDIAN_QUANTILE: Final = 0.5
_TAIL_QUANTILE: Final = 0.99
_HEADER: Final = (
    f'{"path":22} {"callers":>8} {"calls/s":>10} {"p50 ms":>9} '
    f'{"p99 ms":>9} daemon CPU ms per call'
)
_ROW: Final = '{0:22} {1:>8} {2:>10.0f} {3:>9.2f} {4:>9.2f} {5:>9.3f}'


def make_contract(customer: str, service: str) -> dict[str, Any]:
    """Return a contract whose limits no benchmark reaches."""
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
    """Start a process with stand-in upstreams and wait two seconds."""
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
    daemon_port = daemon.callers_port
    stand_in = await start_stand_in(daemon, port)
    print(_HEADER)
    for callers in _CALLER_COUNTS:
        direct = await _measure(daemon, 'direct', port, callers)
        proxied = await _measure(daemon, 'daemon', daemon_port, callers)
        await _measure(daemon, _KEYED_NAME, daemon_port, callers)
        ratio = proxied.get_rate() / direct.get_rate()
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
    key_prefix = f'bench-{callers}' if name == _KEYED_NAME else ''
    before = daemon.get_usage()
    report = await run_load(
        LoadPlan(
            port, '/fees/post', 'bench', callers, _RUN_SECONDS, key_prefix
        ),
    )
    cpu_seconds = daemon.get_usage().cpu_seconds - before.cpu_seconds
    if set(report.statuses) != {200}:
        raise RuntimeError(f'expected status 200 only, got {report.statuses}')
    print(
        _ROW.format(
            name,
            callers,
            report.get_rate(),
            report.get_quantile(_MEDIAN_QUANTILE),
            report.get_quantile(_TAIL_QUANTILE),
            cpu_seconds * _MILLISECONDS_PER_SECOND / len(report.latencies),
        ),
    )
    return report


def main() -> None:
    """Run the benchmark in a temporary folder."""
    with TemporaryDirectory() as folder:
        run(_bench(Path(folder)))


if __name__ == '__main__':
    main()
