"""Bench of one order to a worker: processor time of the holder's side."""

import sys
from asyncio import gather, run, sleep, timeout
from asyncio.subprocess import create_subprocess_exec
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, process_time
from typing import Final

from aiosonic import HTTPClient

from hornbeamstair_core.codec import json_converter
from hornbeamstair_core.ids import TaskId, WorkerId
from hornbeamstair_tools.processes import get_free_port, set_parent_death_signal
from hornbeamstair_upstreams.endpoints.http_workers import (
    START_PATH,
    HttpWorkerSender,
)
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    StartOrder,
)

__all__ = ('main',)

_ORDERS: Final = 2000
_CALLERS: Final = 8
_LEASE_SECONDS: Final = 6.0
_RUN_SECONDS: Final = '0.05'
# The whole bench takes about ten seconds.
_LIMIT_SECONDS: Final = 90.0
_READY_SECONDS: Final = 3.0

Send = Callable[[StartOrder], Awaitable[OrderAnswer]]


async def _measure(name: str, send: Send, port: int) -> str:
    began, spent = monotonic(), process_time()
    share = _ORDERS // _CALLERS
    await gather(
        *(
            _send_all(
                name, send, port, range(caller * share, caller * share + share)
            )
            for caller in range(_CALLERS)
        ),
    )
    milliseconds = (process_time() - spent) * 1000 / _ORDERS
    rate = _ORDERS / (monotonic() - began)
    return f'| {name} | {milliseconds:.3f} | {rate:.0f} |'


async def _send_all(name: str, send: Send, port: int, numbers: range) -> None:
    for number in numbers:
        answer = await send(_make_order(name, port, number))
        if answer.outcome != OrderOutcome.done:
            raise RuntimeError(f'order {number}: {answer}')


def _make_order(name: str, port: int, number: int) -> StartOrder:
    return StartOrder(
        worker=WorkerId('w'),
        address='127.0.0.1',
        port=port,
        fencing_token=1,
        task=TaskId(f'{name}.{number}'),
        run=1,
        spec=_RUN_SECONDS,
        lease_end=monotonic() + _LEASE_SECONDS,
    )


async def _run(folder: Path) -> None:
    port = get_free_port()
    worker = await create_subprocess_exec(
        sys.executable,
        '-m',
        'hornbeamstair_tools.stand_in_worker',
        f'http://127.0.0.1:{get_free_port()}',
        '--port',
        str(port),
        '--name',
        'w',
        '--journal',
        str(folder / 'journal'),
        preexec_fn=set_parent_death_signal,
    )
    try:
        async with timeout(_LIMIT_SECONDS):
            await sleep(_READY_SECONDS)
            await _compare(port)
    finally:
        worker.kill()
        await worker.wait()


async def _compare(port: int) -> None:
    print('| client | processor ms an order | orders a second |')
    print('|---|---|---|', flush=True)
    sender = HttpWorkerSender()
    print(await _measure('order_client', sender.start, port), flush=True)
    await sender.close()
    async with HTTPClient() as client:
        print(await _measure('aiosonic', _make_send(client), port), flush=True)


def _make_send(client: HTTPClient) -> Send:
    async def send(order: StartOrder) -> OrderAnswer:  # noqa: WPS430
        response = await client.post(
            f'http://{order.address}:{order.port}{START_PATH}',
            data=json_converter.dumps(order),
            headers={'content-type': 'application/json'},
        )
        return json_converter.loads(await response.content(), OrderAnswer)

    return send


def main() -> None:
    """Print the table."""
    with TemporaryDirectory() as folder:
        run(_run(Path(folder)))


if __name__ == '__main__':
    main()
