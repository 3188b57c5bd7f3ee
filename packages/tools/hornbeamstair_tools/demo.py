"""Demonstration of the whole path on loopback."""

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

_CALLS_AT_ONCE: Final = 12
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
    """Show contracts, calls, refusals, keyed calls and a restart."""
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
        _say('daemon stopped with exit code', await daemon.stop())


async def _show_contract(daemon: DaemonProcess, folder: Path) -> None:
    path = folder / 'contract.yaml'
    path.write_text(safe_dump(_CONTRACT), encoding='utf-8')
    apply = 'contract', 'apply', str(path), '--request-id', 'demo-1'
    _show(await daemon.run_client(*apply))
    _say('the same request sent again:')
    _show(await daemon.run_client(*apply))
    _show(await daemon.run_client('explain', 'grinders'))


async def _show_calls(
    daemon: DaemonProcess,
    upstreams: list[StandInUpstream],
) -> None:
    url = f'{daemon.callers_url}/fees/post'
    async with HTTPClient() as client:
        answer = await call(client, url, 'grinders')
        _say('one call:', answer.status, answer.body.decode())
        for upstream in upstreams:
            upstream.delay_seconds = 0.2
        answers = await gather(
            *(call(client, url, 'grinders') for _ in range(_CALLS_AT_ONCE)),
        )
        codes = Counter((found.status, found.code) for found in answers)
        _say(f'{_CALLS_AT_ONCE} calls at once:')
        for (status, code), count in sorted(codes.items()):
            _say(f'  {count} with status {status}, code {code}')
        for upstream in upstreams:
            upstream.delay_seconds = 0
        first = await call(client, url, 'grinders', 'fee-7')
        again = await call(client, url, 'grinders', 'fee-7')
    runs = sum(upstream.arrivals['fee-7'] for upstream in upstreams)
    _say('keyed call, sent twice:', first.status, again.status, 'runs:', runs)


async def _show_restart(
    daemon: DaemonProcess,
    upstreams: list[StandInUpstream],
) -> None:
    await daemon.kill()
    await daemon.start()
    _say('after kill -9 and a restart:')
    _show(await daemon.run_client('contract', 'list'))
    await gather(*(upstream.announce() for upstream in upstreams))
    url = f'{daemon.callers_url}/fees/post'
    async with HTTPClient() as client:
        again = await call(client, url, 'grinders', 'fee-7')
    runs = sum(upstream.arrivals['fee-7'] for upstream in upstreams)
    _say('the keyed call sent once more:', again.status, 'runs:', runs)


def _show(answer: CommandResult) -> None:
    _say((answer.output + answer.errors).rstrip())


def _say(*words: object) -> None:
    print(*words, flush=True)  # noqa: WPS421


def main() -> None:
    """Run the demonstration in a temporary folder."""
    with TemporaryDirectory() as folder:
        run(show_path(Path(folder)))
    show_system()


if __name__ == '__main__':
    main()
