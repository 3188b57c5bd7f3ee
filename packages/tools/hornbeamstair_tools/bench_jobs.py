"""Benchmark of the CPU time that an order to a worker costs the leader."""

import sys
from asyncio import gather, run, sleep, timeout
from asyncio.subprocess import create_subprocess_exec
from collections.abc import Awaitable, Callable
from math import inf
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, process_time
from typing import Final

from aiosonic import HTTPClient

from hornbeamstair_core.codec import json_converter
from hornbeamstair_core.ids import TaskId, WorkerId
from hornbeamstair_tools.ports import get_free_port
from hornbeamstair_tools.processes import set_parent_death_signal
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

_ORDER_COUNT: Final = 2000
_SENDERS: Final = 8
_LEASE_SECONDS: Final = 6.0
_RUN_SECONDS: Final = '0.05'
# The benchmark takes about ten seconds.
_TIMEOUT_SECONDS: Final = 90.0
_WORKER_START_SECONDS: Final = 3.0

SendOrder = Callable[[StartOrder], Awaitable[OrderAnswer]]


async def _measure(name: str, send: SendOrder, port: int) -> str:
    started, cpu_started = monotonic(), process_time()
    batch_size = _ORDER_COUNT // _SENDERS
    await gather(
        *(
            _send_all(
                name,
                send,
                port,
                range(
                    sender_index * batch_size,
                    sender_index * batch_size + batch_size,
                ),
            )
            for sender_index in range(_SENDERS)
        ),
    )
    milliseconds = (process_time() - cpu_started) * 1000 / _ORDER_COUNT
    rate = _ORDER_COUNT / (monotonic() - started)
    return f'| {name} | {milliseconds:.3f} | {rate:.0f} |'


async def _send_all(
    name: str, send: SendOrder, port: int, numbers: range
) -> None:
    for number in numbers:
        answer = await send(_make_order(name, port, number))
        if answer.outcome != OrderOutcome.done:
            raise RuntimeError(f'order {number} was not done: {answer}')


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
        async with timeout(_TIMEOUT_SECONDS):
            await sleep(_WORKER_START_SECONDS)
            await _compare(port)
    finally:
        worker.kill()
        await worker.wait()


async def _compare(port: int) -> None:
    print('| client | CPU ms per order | orders per second |')
    print('|---|---|---|', flush=True)
    sender = HttpWorkerSender()
    print(
        await _measure(
            'order_client',
            lambda order: sender.start(order, inf),
            port,
        ),
        flush=True,
    )
    await sender.close()
    async with HTTPClient() as client:
        print(
            await _measure('aiosonic', _make_aiosonic_sender(client), port),
            flush=True,
        )


def _make_aiosonic_sender(client: HTTPClient) -> SendOrder:
    async def send(order: StartOrder) -> OrderAnswer:  # noqa: WPS430
        response = await client.post(
            f'http://{order.address}:{order.port}{START_PATH}',
            data=json_converter.dumps(order),
            headers={'content-type': 'application/json'},
        )
        return json_converter.loads(await response.content(), OrderAnswer)

    return send


def main() -> None:
    """Print a table that compares the HTTP clients."""
    with TemporaryDirectory() as folder:
        run(_run(Path(folder)))


if __name__ == '__main__':
    main()
