"""Steps with orders that wait, and with a sender that is paused meanwhile."""

import time
from asyncio import Runner, create_task, gather, get_running_loop, sleep
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from socket import SHUT_RDWR, create_server, socket
from threading import Lock, Thread
from typing import Any
from unittest.mock import patch

from attrs import define, field
from behave import given, then, when

from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import HostId
from hornbeamstair_fleet.waves.messages import HostOrder, HostOutcome
from hornbeamstair_platform.hosts_client import PlatformHostsClient
from hornbeamstair_upstreams.endpoints.order_client import (
    HttpOrder,
    OrderClient,
    OrderExpiredError,
    make_worker_client,
)

ADDRESS = '127.0.0.1'
ORDER_TIMEOUT_SECONDS = 0.5
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
# Longer than all timeouts of the client.
PAUSE_SECONDS = 1.5


@define(eq=False)
class ThreadedWorker:
    """Worker that goes on while the event loop of its client is paused."""

    delay_seconds: float
    server: socket = field(factory=lambda: create_server((ADDRESS, 0)))
    connections: list[socket] = field(factory=list)
    received: int = 0
    lock: Lock = field(factory=Lock)

    def start(self) -> None:
        """Accept connections."""
        Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Close all connections."""
        for connection in (self.server, *self.connections):
            with suppress(OSError):
                connection.shutdown(SHUT_RDWR)
            connection.close()

    def get_port(self) -> int:
        """Get the port of the worker."""
        port: int = self.server.getsockname()[1]
        return port

    def _accept(self) -> None:
        with suppress(OSError):
            for connection, _ in iter(self.server.accept, None):
                self.connections.append(connection)
                answer = Thread(target=self._answer, args=(connection,))
                answer.daemon = True
                answer.start()

    def _answer(self, connection: socket) -> None:
        with suppress(OSError):
            while connection.recv(65536):
                with self.lock:
                    self.received += 1
                time.sleep(self.delay_seconds)
                connection.sendall(REPLY)


@define(eq=False)
class SuspendableClock:
    """Clock that goes on while the timers of the event loop stand still."""

    suspended_seconds: float = 0

    def get_time(self) -> float:
        """Get the time in seconds, including that in suspend."""
        return get_monotonic_time() + self.suspended_seconds


@given('a worker that answers an order {seconds:g} seconds after it came')
def make_worker(context: Any, seconds: float) -> None:
    """Start a worker."""
    context.worker = ThreadedWorker(seconds)
    context.worker.start()
    context.add_cleanup(context.worker.stop)
    context.clock = SuspendableClock()
    context.connect_seconds = 0


@given('a connection to it takes {seconds:g} seconds')
def slow_connections(context: Any, seconds: float) -> None:
    """Delay each connection."""
    context.connect_seconds = seconds


@when('{count:d} orders that are valid for {seconds:g} seconds are sent to it')
def send_orders(context: Any, count: int, seconds: float) -> None:
    """Send orders at once and wait for their outcomes."""
    with Runner() as runner:
        runner.run(_send(context, count, seconds, None))


@when('{count:d} orders without a limit are sent to it before a long pause')
def send_before_pause(context: Any, count: int) -> None:
    """Pause the process while the first connections are being opened."""
    with Runner() as runner:
        runner.run(_send(context, count, float('inf'), 0))


@when(
    '{count:d} orders without a limit are sent to it, '
    'with a long pause after {seconds:g} seconds'
)
def send_around_pause(context: Any, count: int, seconds: float) -> None:
    """Pause the process when the first orders have been written."""
    with Runner() as runner:
        runner.run(_send(context, count, float('inf'), seconds))


@when(
    'the machine is suspended for {suspended:g} seconds '
    'while an order that is valid for {seconds:g} seconds waits'
)
def send_before_suspend(
    context: Any,
    suspended: float,
    seconds: float,
) -> None:
    """Suspend the machine while the order waits for its connection."""
    order = _make_order(context, seconds)
    client = _make_client(context)
    with Runner() as runner:
        runner.run(_send_and_suspend(context, client.send(order), suspended))


@when(
    'the machine is suspended for {suspended:g} seconds '
    'while an order about a host that is valid for {seconds:g} seconds waits'
)
def send_host_order_before_suspend(
    context: Any,
    suspended: float,
    seconds: float,
) -> None:
    """Suspend the machine while the order waits for its connection."""
    server = SocketAddress(ADDRESS, context.worker.get_port())
    client = PlatformHostsClient(server, _make_client(context))
    limit = context.clock.get_time() + seconds
    order = HostOrder(HostId('m-1'), 'leader', 3, limit)
    with Runner() as runner:
        runner.run(
            _send_and_suspend(context, client.maintain(order, 1), suspended)
        )


@then('the outcome of the order about the host is unknown')
def check_host_outcome(context: Any) -> None:
    """Check that the order counts as one that may have been executed."""
    assert context.outcomes == [HostOutcome.unknown], context.outcomes


@then('the worker has received {count:d} orders')
def check_received(context: Any, count: int) -> None:
    """Check the number of orders that were written."""
    # What has been written arrives within this time.
    time.sleep(0.2)
    assert context.worker.received == count, context.worker.received


@then('{count:d} orders have expired')
def check_expired(context: Any, count: int) -> None:
    """Check the number of orders that are known not to be written."""
    expired = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, OrderExpiredError)
    ]
    assert len(expired) == count, context.outcomes


async def _send(
    context: Any,
    count: int,
    valid_seconds: float,
    pause_after_seconds: float | None,
) -> None:
    client = _make_client(context)
    order = _make_order(context, valid_seconds)
    with _delay_connections(context.connect_seconds):
        sending = [create_task(client.send(order)) for _ in range(count)]
        if pause_after_seconds is not None:
            await sleep(pause_after_seconds)
            time.sleep(PAUSE_SECONDS)
        context.outcomes = await gather(*sending, return_exceptions=True)
    client.close()


async def _send_and_suspend(
    context: Any,
    order: Coroutine[Any, Any, Any],
    suspended_seconds: float,
) -> None:
    with _delay_connections(context.connect_seconds):
        sending = create_task(order)
        await sleep(0)
        context.clock.suspended_seconds = suspended_seconds
        context.outcomes = await gather(sending, return_exceptions=True)


def _make_client(context: Any) -> OrderClient:
    client = make_worker_client()
    client.get_time = context.clock.get_time
    return client


def _make_order(context: Any, valid_seconds: float) -> HttpOrder:
    return HttpOrder(
        ADDRESS,
        context.worker.get_port(),
        'POST',
        '/start',
        (),
        b'',
        ORDER_TIMEOUT_SECONDS,
        valid_until=context.clock.get_time() + valid_seconds,
    )


@contextmanager
def _delay_connections(seconds: float) -> Iterator[None]:
    loop = get_running_loop()
    connect = partial(_connect_late, seconds, loop.create_connection)
    with patch.object(loop, 'create_connection', connect):
        yield


async def _connect_late(
    seconds: float,
    connect: Callable[..., Awaitable[Any]],
    *arguments: Any,
    **options: Any,
) -> Any:
    await sleep(seconds)
    return await connect(*arguments, **options)
