"""Steps with many orders to one worker."""

from asyncio import (
    IncompleteReadError,
    Runner,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    sleep,
    start_server,
)
from contextlib import suppress
from time import monotonic
from typing import Any

from attrs import define, field
from behave import given, then, when

from hornbeamstair_upstreams.endpoints.order_client import (
    HttpOrder,
    make_worker_client,
)

ADDRESS = '127.0.0.1'
ORDER_SECONDS = 0.5
LOOK = '/look'
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


@define(eq=False)
class Worker:
    """Worker that answers over kept connections, or not at all."""

    answers_after: float | None
    look_seconds: float = 0
    connections: int = 0
    writers: list[StreamWriter] = field(factory=list)
    replies: list[object] = field(factory=list)
    spent: float = 0

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer each request of a connection."""
        self.connections += 1
        self.writers.append(writer)
        with suppress(IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b'\r\n\r\n')
                await self.answer(request, writer)

    async def answer(self, request: bytes, writer: StreamWriter) -> None:
        """Answer a request after a while."""
        if self.answers_after is None:
            return
        is_look = LOOK.encode() in request
        await sleep(self.look_seconds if is_look else self.answers_after)
        writer.write(REPLY)

    async def send_all(self, count: int, looks: int = 0) -> None:
        """Send orders together, while looks wait."""
        server = await start_server(self.serve, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        client = make_worker_client()
        look = _make_order(port, LOOK, is_waiting=True)
        looking = [create_task(client.send(look)) for _ in range(looks)]
        await sleep(0)
        began = monotonic()
        order = _make_order(port, '/start', is_waiting=False)
        self.replies = await gather(
            *(client.send(order) for _ in range(count)),
            return_exceptions=True,
        )
        self.spent = monotonic() - began
        await gather(*looking)
        client.close()
        server.close()
        for writer in self.writers:
            writer.close()
        await sleep(0)


def _make_order(port: int, path: str, *, is_waiting: bool) -> HttpOrder:
    return HttpOrder(
        ADDRESS,
        port,
        'POST',
        path,
        (),
        b'',
        ORDER_SECONDS,
        is_waiting,
    )


@given('a worker that answers each order after {span:d} ms')
def make_worker(context: Any, span: int) -> None:
    """Make a sound worker."""
    context.worker = Worker(span / 1000)


@given('a worker that never answers')
def make_silent(context: Any) -> None:
    """Make a worker that reads and says nothing."""
    context.worker = Worker(None)


@when('{count:d} orders to it are sent together')
def send_orders(context: Any, count: int) -> None:
    """Send orders that become due at the same moment."""
    with Runner() as runner:
        runner.run(context.worker.send_all(count))


@when(
    '{looks:d} looks wait at it for {seconds:g} seconds '
    'as {count:d} orders are sent together',
)
def look_and_send(
    context: Any,
    looks: int,
    seconds: float,
    count: int,
) -> None:
    """Send orders beside looks."""
    context.worker.look_seconds = seconds
    with Runner() as runner:
        runner.run(context.worker.send_all(count, looks))


@then('all {count:d} are answered over {most:d} connections at most')
def check_connections(context: Any, count: int, most: int) -> None:
    """Count the connections that the worker took."""
    _check_answered(context.worker, count)
    assert context.worker.connections <= most, context.worker.connections


@then('all {count:d} are answered within {seconds:g} seconds')
def check_answered(context: Any, count: int, seconds: float) -> None:
    """Check that no order waited for a look."""
    _check_answered(context.worker, count)
    assert context.worker.spent < seconds, context.worker.spent


@then('all {count:d} are given up within {seconds:g} seconds')
def check_given_up(context: Any, count: int, seconds: float) -> None:
    """Check that a turn does not add the times of those before."""
    replies = context.worker.replies
    given_up = [found for found in replies if isinstance(found, TimeoutError)]
    assert len(given_up) == count, replies
    assert context.worker.spent < seconds, context.worker.spent


def _check_answered(worker: Worker, count: int) -> None:
    failed = [found for found in worker.replies if isinstance(found, Exception)]
    assert not failed, failed
    assert len(worker.replies) == count
