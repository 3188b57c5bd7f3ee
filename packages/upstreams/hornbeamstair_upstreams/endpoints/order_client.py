"""HTTP client for orders: one attempt each, over persistent connections.

Orders are small and frequent. To keep the cost of each low, the client uses
asyncio transports directly, with the parser of httptools.
"""

from asyncio import (
    Future,
    Protocol,
    Semaphore,
    Transport,
    get_running_loop,
    timeout,
)
from collections.abc import Callable
from functools import partial
from math import inf
from socket import IPPROTO_TCP
from typing import Any, Final
from weakref import WeakValueDictionary

from attrs import define, field, frozen
from httptools import HttpParserError, HttpResponseParser

from hornbeamstair_core.addresses import is_ip_address, is_port
from hornbeamstair_core.clock import get_monotonic_time

__all__ = (
    'HttpOrder',
    'HttpReply',
    'OrderClient',
    'OrderExpiredError',
    'OrderUndeliveredError',
    'make_worker_client',
)

_CONNECT_SECONDS: Final = 0.6
# Maximum concurrent orders to one worker. An order takes a few milliseconds;
# opening another connection costs more than the order itself.
_MAX_WORKER_ORDERS: Final = 2
# Shorter than the idle timeouts of firewalls and other network devices.
_IDLE_SECONDS: Final = 8.0


class OrderUndeliveredError(ConnectionRefusedError):
    """Order that was never written, since there was no connection."""


class OrderExpiredError(TimeoutError):
    """Order that could not be written in time, and never will be."""


@frozen
class HttpOrder:
    """HTTP request to an address; the timeout is in seconds."""

    address: str
    port: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    # Long poll: the reply may be delayed; exempt from the concurrency limit.
    is_long_poll: bool = False
    # Time on the client's clock after which the request must not be written;
    # requests that change nothing need none.
    valid_until: float = inf


@frozen
class HttpReply:
    """Complete HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection(Protocol):
    """Connection that carries one request at a time."""

    def __init__(self, on_lost: Callable[['_Connection'], None]) -> None:
        """Set the callback for the loss of the connection."""
        self.on_lost = on_lost
        self.transport: Transport | None = None
        self.parser: Any = None
        self.reply: Future[HttpReply] | None = None
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.used_at: float = 0
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.is_open = False
        self.on_lost(self)
        self._fail(
            exc or ConnectionResetError('connection closed before the reply'),
        )

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if none is expected."""
        if self.parser is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self._fail(ConnectionResetError(str(error)))
            self.close()

    def send(self, payload: bytes) -> 'Future[HttpReply]':
        """Send a request."""
        self.parser = HttpResponseParser(self)
        self.headers = {}
        self.body = bytearray()
        self.reply = get_running_loop().create_future()
        if self.transport is not None:
            self.transport.write(payload)
        return self.reply

    def expire(self) -> None:
        """Fail the request in progress, whose reply is late."""
        self._fail(TimeoutError('no reply in time'))

    def close(self) -> None:
        """Abort the connection."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the parser

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        self.headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Complete the request with its reply."""
        parser = self.parser
        self.parser = None
        reply = HttpReply(
            parser.get_status_code(),
            self.headers,
            bytes(self.body),
        )
        if not parser.should_keep_alive():
            self.is_open = False
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(reply)

    def _fail(self, error: Exception) -> None:
        if self.reply is not None and not self.reply.done():
            self.reply.set_exception(error)


@define(eq=False)
class OrderClient:
    """HTTP client with persistent connections to many addresses."""

    # Maximum concurrent orders to one address; None for no limit.
    max_concurrent: int | None = None
    # Clock of `HttpOrder.valid_until`. The timers of the event loop leave out
    # the time that the machine is suspended.
    get_time: Callable[[], float] = get_monotonic_time
    idle: dict[tuple[str, int], list[_Connection]] = field(factory=dict)
    semaphores: WeakValueDictionary[tuple[str, int], Semaphore] = field(
        factory=WeakValueDictionary,
    )

    async def send(self, order: HttpOrder) -> HttpReply:
        """Send an order once.

        After OrderUndeliveredError or OrderExpiredError the order was not
        delivered; after any other OSError it may still be executed.
        """
        endpoint = (order.address, order.port)
        if order.is_long_poll or self.max_concurrent is None:
            return await self._exchange(endpoint, order)
        semaphore = self.semaphores.get(endpoint) or Semaphore(
            self.max_concurrent,
        )
        self.semaphores[endpoint] = semaphore
        if not semaphore.locked():
            async with semaphore:
                return await self._exchange(endpoint, order)
        # The timeout includes the wait for the semaphore.
        async with timeout(_CONNECT_SECONDS + order.timeout), semaphore:
            return await self._exchange(endpoint, order)

    def close_idle(self, endpoint: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(endpoint, ()):
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for endpoint in list(self.idle):
            self.close_idle(endpoint)

    async def _exchange(
        self,
        endpoint: tuple[str, int],
        order: HttpOrder,
    ) -> HttpReply:
        try:
            connection = await self._acquire(endpoint)
        except OSError as error:
            raise OrderUndeliveredError(repr(error)) from error
        if self.get_time() > order.valid_until:
            # The order has waited for other orders or for the connection, or
            # this process was paused.
            self._release(endpoint, connection)
            raise OrderExpiredError('the order has expired')
        # A timer costs less than a timeout context, and orders are frequent.
        timer = get_running_loop().call_later(order.timeout, connection.expire)
        try:
            reply = await connection.send(_encode(order))
        except BaseException:
            connection.close()
            # Other connections to the address may be broken as well.
            self.close_idle(endpoint)
            raise
        finally:
            timer.cancel()
        self._release(endpoint, connection)
        return reply

    async def _acquire(self, endpoint: tuple[str, int]) -> _Connection:
        used_after = get_running_loop().time() - _IDLE_SECONDS
        connections = self.idle.get(endpoint, [])
        while connections:
            connection = connections.pop()
            if connection.is_open and connection.used_at > used_after:
                return connection
            connection.close()
        address, port = endpoint
        if not is_ip_address(address) or not is_port(port):
            raise ConnectionRefusedError(f'invalid address: {address}:{port}')
        async with timeout(_CONNECT_SECONDS):
            _, opened = await get_running_loop().create_connection(
                lambda: _Connection(partial(self._remove_idle, endpoint)),
                address,
                port,
                proto=IPPROTO_TCP,
            )
        return opened

    def _release(
        self,
        endpoint: tuple[str, int],
        connection: _Connection,
    ) -> None:
        if connection.is_open:
            connection.used_at = get_running_loop().time()
            self.idle.setdefault(endpoint, []).append(connection)
        else:
            connection.close()

    def _remove_idle(
        self,
        endpoint: tuple[str, int],
        connection: _Connection,
    ) -> None:
        connections = self.idle.get(endpoint, [])
        if connection in connections:
            connections.remove(connection)


def make_worker_client() -> OrderClient:
    """Make a client for orders to workers, with a concurrency limit."""
    return OrderClient(_MAX_WORKER_ORDERS)


def _encode(order: HttpOrder) -> bytes:
    lines = [
        f'{order.method} {order.path} HTTP/1.1',
        f'Host: {order.address}:{order.port}',
        f'Content-Length: {len(order.body)}',
    ]
    lines.extend(f'{name}: {text}' for name, text in order.headers)
    head = '\r\n'.join((*lines, '', ''))
    return head.encode('latin-1') + order.body
