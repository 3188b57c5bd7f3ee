"""Bounded HTTP protocol over a transport in memory, with random bytes."""

import re
from asyncio import Transport, sleep
from typing import Any, Final

from attrs import define, field
from hypothesis import strategies as st
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send
from uvicorn import Config
from uvicorn.server import ServerState

from hornbeamstair_core.clients.limits import ClientLimits
from hornbeamstair_core.front_end import read_body
from hornbeamstair_core.front_ends.bounded_protocol import BoundedHttpProtocol
from hornbeamstair_core.front_ends.guard import ClientGuard
from hornbeamstair_core.units import KIB

__all__ = ('FedProcess', 'LIMITS', 'make_pieces')

LIMITS: Final = ClientLimits(
    lead_bytes=8,
    head_bytes=150,
    trailer_bytes=100,
    body_bytes=2 * KIB,
    unfinished_bytes=64 * KIB,
    pipelined_requests=3,
)
_STATUS: Final = re.compile(b'HTTP/1.1 ([0-9]{3}) ')

_HEADERS: Final = st.builds(
    bytes.__mul__, st.just(b'x: %s\r\n' % (b'a' * 20)), st.integers(0, 9)
)
_CHUNKS: Final = st.builds(
    bytes.__mul__,
    st.sampled_from((b'3\r\nabc\r\n', b'1F4\r\n%s\r\n' % (b'a' * 500))),
    st.integers(0, 6),
)
_MESSAGES: Final = st.one_of(
    st.builds(b'GET /x HTTP/1.1\r\n%s\r\n'.__mod__, _HEADERS),
    st.builds(
        lambda *parts: (
            b'POST / HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n'
            b'%s0\r\n%s\r\n' % parts
        ),
        _HEADERS,
        _CHUNKS,
        _HEADERS,
    ),
    st.just(b'POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc'),
    st.just(b'POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\nabc'),
    st.builds(bytes.__mul__, st.just(b'\r\n'), st.integers(0, 5)),
    st.binary(max_size=9),
)


@st.composite
def make_pieces(draw: st.DrawFn) -> list[bytes]:
    """Make the pieces in which a client sends a few messages."""
    sent = b''.join(draw(st.lists(_MESSAGES, max_size=6)))
    positions = st.lists(st.integers(0, len(sent)), max_size=8)
    starts = sorted({0, *draw(positions)})
    ends = [*starts[1:], len(sent)]
    spans = zip(starts, ends, strict=True)
    return [sent[start:end] for start, end in spans]


@define(eq=False)
class _MemoryTransport(Transport):
    """Transport that keeps what is written and reports a close once."""

    written: bytearray = field(factory=bytearray)
    is_closed: bool = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Get the addresses of the connection."""
        return ('127.0.0.1', 1) if 'name' in name else default

    def write(self, data: Any) -> None:
        """Keep written bytes."""
        self.written += data

    def close(self) -> None:
        """Close."""
        self.is_closed = True

    def abort(self) -> None:
        """Close without regard to unsent bytes."""
        self.is_closed = True

    def is_closing(self) -> bool:
        """Return whether it is closed."""
        return self.is_closed

    def pause_reading(self) -> None:
        """Go on, as bytes that were read before may follow a pause."""

    def resume_reading(self) -> None:
        """Go on."""

    def get_write_buffer_size(self) -> int:
        """Return that all was sent."""
        return 0


@define(eq=False)
class FedProcess:
    """Front end whose connections are fed by a test."""

    guard: ClientGuard = field(factory=lambda: ClientGuard(LIMITS))
    protocols: list[BoundedHttpProtocol] = field(factory=list)
    # Requests whose body was complete, by connection.
    runs: list[int] = field(factory=list)

    def connect(self) -> None:
        """Open a connection."""
        number = len(self.protocols)

        async def answer(  # noqa: WPS430
            scope: Scope, receive: Receive, send: Send
        ) -> None:
            try:
                body = await read_body(Request(scope, receive), KIB)
            except ClientDisconnect:
                return
            if body.is_ok():
                self.runs[number] += 1
            status = body.error.http_status if body.is_error() else 200
            await Response(status_code=status)(scope, receive, send)

        config = Config(
            answer,
            interface='asgi3',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
        )
        protocol = BoundedHttpProtocol(
            config, ServerState(), {}, guard=self.guard
        )
        self.protocols.append(protocol)
        self.runs.append(0)
        protocol.connection_made(_MemoryTransport())

    async def feed(self, number: int, piece: bytes) -> None:
        """Feed bytes to a connection and let its requests run."""
        protocol = self.protocols[number]
        if not protocol.transport.is_closing():
            protocol.data_received(piece)
        for _ in range(10):
            await sleep(0)

    def get_statuses(self, number: int) -> list[int]:
        """Get the final statuses that a connection was answered with."""
        transport: Any = self.protocols[number].transport
        found = map(int, _STATUS.findall(transport.written))
        return [status for status in found if status >= 200]

    async def close(self) -> None:
        """Close all connections."""
        for protocol in self.protocols:
            protocol.connection_lost(None)
        await sleep(0)
        if self.guard.timer is not None:
            self.guard.timer.cancel()
