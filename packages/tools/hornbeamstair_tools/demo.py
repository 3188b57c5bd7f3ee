"""Demonstration of calls and jobs on loopback."""

from asyncio import gather, run
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

from aiosonic import HTTPClient
from yaml import safe_dump

from hornbeamstair_tools.caller import call
from hornbeamstair_tools.demo_system import show_system
from hornbeamstair_tools.processes import CommandResult, DaemonProcess
from hornbeamstair_tools.stand_in_upstream import StandInUpstream

__all__ = ('main',)

_CONCURRENT_CALLS: Final = 12
_CONTRACT: Final[dict[str, Any]] = {
    'customer': 'grinders',
    'home_zone': 'local',
    'availability': 0.99,
    'window_days': 30,
    'services': [
        {
            'service': 'fees',
            'concurrency': 2,
            'rate': 20,
            'burst_multiple': 2,
            'burst_seconds': 1,
            'urgency': 'urgent',
            'start_within': 0.5,
            'idempotent': False,
        },
    ],
}


async def show_path(folder: Path) -> None:
    """Demonstrate contracts, calls, refusals, keyed calls and a restart."""
    daemon = DaemonProcess(folder / 'daemon')
    await daemon.start()
    upstreams = [
        StandInUpstream(f'fees-{number}', 'fees', [daemon.upstreams_url])
        for number in (1, 2)
    ]
    try:
        await gather(*(upstream.start() for upstream in upstreams))
        await _show_contract(daemon, folder)
        await _show_calls(daemon, upstreams)
        await _show_restart(daemon, upstreams)
    finally:
        await gather(*(upstream.stop() for upstream in upstreams))
        _print_line('daemon stopped with exit code', await daemon.stop())


async def _show_contract(daemon: DaemonProcess, folder: Path) -> None:
    path = folder / 'contract.yaml'
    path.write_text(safe_dump(_CONTRACT), encoding='utf-8')
    apply_arguments = 'contract', 'apply', str(path), '--request-id', 'demo-1'
    _print_result(await daemon.run_client(*apply_arguments))
    _print_line('the same request, sent again:')
    _print_result(await daemon.run_client(*apply_arguments))
    _print_result(await daemon.run_client('explain', 'grinders'))


async def _show_calls(
    daemon: DaemonProcess,
    upstreams: list[StandInUpstream],
) -> None:
    url = f'{daemon.callers_url}/fees/post'
    async with HTTPClient() as client:
        response = await call(client, url, 'grinders')
        _print_line('one call:', response.status, response.body.decode())
        for upstream in upstreams:
            upstream.delay_seconds = 0.2
        responses = await gather(
            *(call(client, url, 'grinders') for _ in range(_CONCURRENT_CALLS)),
        )
        codes = Counter((each.status, each.code) for each in responses)
        _print_line(f'{_CONCURRENT_CALLS} concurrent calls:')
        for (status, code), count in sorted(codes.items()):
            _print_line(f'  {count} with status {status}, code {code}')
        for upstream in upstreams:
            upstream.delay_seconds = 0
        first = await call(client, url, 'grinders', 'fee-7')
        resent = await call(client, url, 'grinders', 'fee-7')
    runs = sum(upstream.arrivals['fee-7'] for upstream in upstreams)
    _print_line(
        'keyed call, sent twice:', first.status, resent.status, 'runs:', runs
    )


async def _show_restart(
    daemon: DaemonProcess,
    upstreams: list[StandInUpstream],
) -> None:
    await daemon.kill()
    await daemon.start()
    _print_line('after kill -9 and a restart:')
    _print_result(await daemon.run_client('contract', 'list'))
    await gather(*(upstream.announce() for upstream in upstreams))
    url = f'{daemon.callers_url}/fees/post'
    async with HTTPClient() as client:
        resent = await call(client, url, 'grinders', 'fee-7')
    runs = sum(upstream.arrivals['fee-7'] for upstream in upstreams)
    _print_line(
        'the keyed call, sent a third time:', resent.status, 'runs:', runs
    )


def _print_result(result: CommandResult) -> None:
    _print_line((result.output + result.errors).rstrip())


def _print_line(*texts: object) -> None:
    print(*texts, flush=True)  # noqa: WPS421


def main() -> None:
    """Run the demonstration in a temporary folder."""
    with TemporaryDirectory() as folder:
        run(show_path(Path(folder)))
    show_system()


if __name__ == '__main__':
    main()
