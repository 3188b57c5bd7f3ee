"""HTTP client for orders: one attempt each, over kept connections.

Orders are many and small, so that the cost of each counts: the client
works directly on the transports of asyncio with httptools as its parser.
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
from socket import IPPROTO_TCP
from typing import Any, Final
from weakref import WeakValueDictionary

from attrs import define, field, frozen
from httptools import HttpParserError, HttpResponseParser

__all__ = ('HttpOrder', 'HttpReply', 'OrderClient', 'make_worker_client')

_CONNECT_SECONDS: Final = 0.6
# Orders to one worker that are on their way together. An order takes some
# milliseconds; to open a connection costs more than the order itself.
_WORKER_ORDERS: Final = 2
# Shorter than the time after which anything between may forget the channel.
_IDLE_SECONDS: Final = 8.0


@frozen
class HttpOrder:
    """Request to an address, and the seconds to wait for its reply."""

    address: str
    port: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    # The reply waits for something to happen; no other order waits for it.
    is_waiting: bool = False


@frozen
class HttpReply:
    """Whole reply."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection(Protocol):
    """Connection that carries one exchange at a time."""

    def __init__(self, on_lost: Callable[['_Connection'], None]) -> None:
        """Tell a function when the connection is lost."""
        self.on_lost = on_lost
        self.transport: Transport | None = None
        self.parser: Any = None
        self.reply: Future[HttpReply] | None = None
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.used_at: float = 0
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_open = False
        self.on_lost(self)
        self._fail(exc or ConnectionResetError('closed before the reply'))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
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

    def close(self) -> None:
        """Drop the connection at once."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the parser

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header."""
        self.headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Hand the reply over."""
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
    """Kept connections to many addresses."""

    # Orders to one address on their way together; None for any number.
    at_a_time: int | None = None
    idle: dict[tuple[str, int], list[_Connection]] = field(factory=dict)
    turns: WeakValueDictionary[tuple[str, int], Semaphore] = field(
        factory=WeakValueDictionary,
    )

    async def send(self, order: HttpOrder) -> HttpReply:
        """Send an order once.

        ConnectionRefusedError proves that it did not arrive; after any
        other OSError or TimeoutError it may be carried out.
        """
        place = (order.address, order.port)
        if order.is_waiting or self.at_a_time is None:
            return await self._exchange(place, order)
        turn = self.turns.get(place) or Semaphore(self.at_a_time)
        self.turns[place] = turn
        # Whoever waits for a turn has no more time than who has it at once.
        async with timeout(_CONNECT_SECONDS + order.timeout), turn:
            return await self._exchange(place, order)

    def forget(self, place: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(place, ()):
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for place in list(self.idle):
            self.forget(place)

    async def _exchange(
        self,
        place: tuple[str, int],
        order: HttpOrder,
    ) -> HttpReply:
        connection = await self._take(place)
        try:
            async with timeout(order.timeout):
                reply = await connection.send(_write(order))
        except BaseException:
            connection.close()
            # What else is open to that address may be as silent.
            self.forget(place)
            raise
        self._give_back(place, connection)
        return reply

    async def _take(self, place: tuple[str, int]) -> _Connection:
        oldest = get_running_loop().time() - _IDLE_SECONDS
        kept = self.idle.get(place, [])
        while kept:
            connection = kept.pop()
            if connection.is_open and connection.used_at > oldest:
                return connection
            connection.close()
        address, port = place
        async with timeout(_CONNECT_SECONDS):
            _, opened = await get_running_loop().create_connection(
                lambda: _Connection(self._drop),
                address,
                port,
                proto=IPPROTO_TCP,
            )
        return opened

    def _give_back(
        self,
        place: tuple[str, int],
        connection: _Connection,
    ) -> None:
        if connection.is_open:
            connection.used_at = get_running_loop().time()
            self.idle.setdefault(place, []).append(connection)
        else:
            connection.close()

    def _drop(self, connection: _Connection) -> None:
        for kept in self.idle.values():
            if connection in kept:
                kept.remove(connection)


def make_worker_client() -> OrderClient:
    """Make a client for orders to workers, which come in groups."""
    return OrderClient(_WORKER_ORDERS)


def _write(order: HttpOrder) -> bytes:
    lines = [
        f'{order.method} {order.path} HTTP/1.1',
        f'Host: {order.address}:{order.port}',
        f'Content-Length: {len(order.body)}',
    ]
    lines.extend(f'{name}: {text}' for name, text in order.headers)
    head = '\r\n'.join((*lines, '', ''))
    return head.encode('latin-1') + order.body
