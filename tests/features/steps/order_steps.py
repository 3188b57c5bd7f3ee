"""Steps that send many orders to one worker."""

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
from socket import socket
from time import monotonic
from typing import Any

from attrs import define, field
from behave import given, then, when

from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.ids import TaskId, WorkerId
from hornbeamstair_platform.worker_sender import PlatformWorkerSender
from hornbeamstair_upstreams.endpoints.http_workers import HttpWorkerSender
from hornbeamstair_upstreams.endpoints.order_client import (
    HttpOrder,
    make_worker_client,
)
from hornbeamstair_upstreams.work.messages import OrderOutcome, StartOrder

ADDRESS = '127.0.0.1'
ORDER_TIMEOUT_SECONDS = 0.5
POLL_PATH = '/poll'
SENDERS = {'own': HttpWorkerSender, 'platform': PlatformWorkerSender}
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


@define(eq=False)
class Worker:
    """Worker that answers over persistent connections, or not at all."""

    delay_seconds: float | None
    poll_seconds: float = 0
    connections: int = 0
    writers: list[StreamWriter] = field(factory=list)
    replies: list[object] = field(factory=list)
    elapsed_seconds: float = 0

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer the requests of a connection."""
        self.connections += 1
        self.writers.append(writer)
        with suppress(IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b'\r\n\r\n')
                await self.answer(request, writer)

    async def answer(self, request: bytes, writer: StreamWriter) -> None:
        """Answer a request after a delay."""
        if self.delay_seconds is None:
            return
        is_poll = POLL_PATH.encode() in request
        await sleep(self.poll_seconds if is_poll else self.delay_seconds)
        writer.write(REPLY)

    async def send_all(self, count: int, polls: int = 0) -> None:
        """Send orders at once while polls are open."""
        server = await start_server(self.serve, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        client = make_worker_client()
        poll = _make_order(port, POLL_PATH, is_long_poll=True)
        pending = [create_task(client.send(poll)) for _ in range(polls)]
        await sleep(0)
        started_at = monotonic()
        order = _make_order(port, '/start', is_long_poll=False)
        self.replies = await gather(
            *(client.send(order) for _ in range(count)),
            return_exceptions=True,
        )
        self.elapsed_seconds = monotonic() - started_at
        await gather(*pending)
        client.close()
        server.close()
        for writer in self.writers:
            writer.close()
        await sleep(0)


def _make_order(port: int, path: str, *, is_long_poll: bool) -> HttpOrder:
    return HttpOrder(
        ADDRESS,
        port,
        'POST',
        path,
        (),
        b'',
        ORDER_TIMEOUT_SECONDS,
        is_long_poll,
    )


@given('a worker that answers each order after {milliseconds:d} ms')
def make_worker(context: Any, milliseconds: int) -> None:
    """Make a healthy worker."""
    context.worker = Worker(milliseconds / 1000)


@given('a worker that never answers')
def make_unresponsive(context: Any) -> None:
    """Make a worker that reads requests and never answers."""
    context.worker = Worker(None)


@when('{count:d} orders are sent to it at once')
def send_orders(context: Any, count: int) -> None:
    """Send orders concurrently."""
    with Runner() as runner:
        runner.run(context.worker.send_all(count))


@when(
    '{count:d} orders are sent to it at once '
    'during {polls:d} polls of {seconds:g} seconds',
)
def send_during_polls(
    context: Any,
    polls: int,
    seconds: float,
    count: int,
) -> None:
    """Send orders while polls are open."""
    context.worker.poll_seconds = seconds
    with Runner() as runner:
        runner.run(context.worker.send_all(count, polls))


@then('all {count:d} orders are answered over at most {limit:d} connections')
def check_connections(context: Any, count: int, limit: int) -> None:
    """Check the number of connections that the worker accepted."""
    _check_answered(context.worker, count)
    assert context.worker.connections <= limit, context.worker.connections


@then('all {count:d} orders are answered within {seconds:g} seconds')
def check_answered(context: Any, count: int, seconds: float) -> None:
    """Check that no order waited for a poll."""
    _check_answered(context.worker, count)
    assert context.worker.elapsed_seconds < seconds, (
        context.worker.elapsed_seconds
    )


@then('all {count:d} orders time out within {seconds:g} seconds')
def check_timeouts(context: Any, count: int, seconds: float) -> None:
    """Check that the timeouts of queued orders do not add up."""
    replies = context.worker.replies
    timeouts = [reply for reply in replies if isinstance(reply, TimeoutError)]
    assert len(timeouts) == count, replies
    assert context.worker.elapsed_seconds < seconds, (
        context.worker.elapsed_seconds
    )


def _check_answered(worker: Worker, count: int) -> None:
    failed = [reply for reply in worker.replies if isinstance(reply, Exception)]
    assert not failed, failed
    assert len(worker.replies) == count


@given('no worker at the address of an order')
def choose_free_port(context: Any) -> None:
    """Choose a port that nothing listens on."""
    with socket() as listener:
        listener.bind((ADDRESS, 0))
        context.port = listener.getsockname()[1]


@when('a start is sent there through the {interface} interface')
def send_start(context: Any, interface: str) -> None:
    """Send a start."""
    order = StartOrder(
        WorkerId('w'), ADDRESS, context.port, 1, TaskId('j.0.0.0'), 1, '', 9
    )
    context.answer = Runner().run(
        SENDERS[interface]().start(order, get_monotonic_time() + 1),
    )


@then('the outcome of the start is "{outcome}"')
def check_start_outcome(context: Any, outcome: str) -> None:
    """Check the outcome."""
    assert context.answer.outcome == OrderOutcome(outcome), context.answer
