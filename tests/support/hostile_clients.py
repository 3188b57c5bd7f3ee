"""Clients that make a process hold memory and connections."""

from asyncio import gather, get_running_loop, timeout
from contextlib import suppress
from socket import AF_INET, SO_RCVBUF, SOCK_STREAM, SOL_SOCKET, socket
from types import MappingProxyType
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.units import KIB

__all__ = ('CROWDS', 'ClientKind', 'Crowd')

# Source address, so that ordinary clients have another one.
_CROWD_ADDRESS: Final = '127.0.0.9'
# A process that takes no more bytes for this long is left with its unread
# ones; no check depends on it.
_STALL_SECONDS: Final = 5.0
_CONNECT_AT_ONCE: Final = 50

_POST: Final = (
    b'POST /fees/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\n'
    b'hornbeamstair-customer: grinders\r\n'
)
_PUT: Final = b'PUT /hornbeamstair/config HTTP/1.1\r\nHost: a\r\n'
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
_CHUNKED_POST: Final = b'%s%s' % (_POST, _CHUNKED)
_CHUNKED_PUT: Final = b'%s%s' % (_PUT, _CHUNKED)
_GET: Final = b'GET / HTTP/1.1\r\n\r\n'
_READ: Final = b'GET /hornbeamstair/config HTTP/1.1\r\nHost: a\r\n\r\n'
# Receive buffer of a client that never reads.
_UNREAD_BYTES: Final = 4 * KIB


def _make_chunk(size: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b'a' * size)


@frozen
class ClientKind:
    """What each client of a crowd sends before it stays open."""

    count: int
    start: bytes
    piece: bytes = b''
    pieces: int = 0
    end: bytes = b''

    def get_pieces(self) -> list[bytes]:
        """Get the bytes of one client, in parts of moderate size."""
        per_part = max(1, 64 * KIB // max(1, len(self.piece)))
        full, rest = divmod(self.pieces, per_part)
        parts = [self.piece * per_part] * full + [self.piece * rest]
        return [part for part in (self.start, *parts, self.end) if part]


CROWDS: Final = MappingProxyType(
    {
        'heads without end': ClientKind(
            8, b'%sx: ' % _POST, b'a' * KIB, 16 * KIB
        ),
        'heads over the limit': ClientKind(
            8, _POST, b'x: %s\r\n' % (b'a' * 200), 80 * KIB, b'\r\n'
        ),
        'heads of many short lines': ClientKind(300, _POST, b'a: b\r\n', 5000),
        'empty lines without end': ClientKind(300, b'', b'\r\n' * 512, 128),
        'trailers without end': ClientKind(
            8,
            b'%s%s%s0\r\n' % (_POST, _CHUNKED, _make_chunk(2)),
            b'x: %s\r\n' % (b'a' * 200),
            80 * KIB,
        ),
        'a trailer without end': ClientKind(
            8,
            b'%s%s%s0\r\nx: ' % (_POST, _CHUNKED, _make_chunk(2)),
            b'a' * KIB,
            16 * KIB,
        ),
        'bodies in large chunks': ClientKind(
            120, _CHUNKED_POST, _make_chunk(64 * KIB - 1), 16
        ),
        'bodies in very small chunks': ClientKind(
            90, _CHUNKED_POST, _make_chunk(16), 64 * KIB - 1
        ),
        'manifests in large chunks': ClientKind(
            16, _CHUNKED_PUT, _make_chunk(64 * KIB - 1), 127
        ),
        'heads that stay open': ClientKind(300, _POST),
        'bodies that stay open': ClientKind(
            300, _CHUNKED_POST, _make_chunk(KIB), 1
        ),
        'pipelined requests': ClientKind(20, b'', _GET, 256 * KIB // len(_GET)),
        'requests whose answers stay unread': ClientKind(80, b'', _READ, 8),
    }
)


@define(eq=False)
class Crowd:
    """Clients of one kind that send all they can and stay open."""

    address: SocketAddress
    kind: ClientKind
    sockets: list[socket] = field(factory=list)

    async def send(self) -> None:
        """Connect all clients and send until all is sent or refused."""
        for _ in range(0, self.kind.count, _CONNECT_AT_ONCE):
            rest = self.kind.count - len(self.sockets)
            await gather(
                *(self._connect() for _ in range(min(rest, _CONNECT_AT_ONCE))),
            )
        parts = self.kind.get_pieces()
        await gather(*(self._send(client, parts) for client in self.sockets))

    async def close(self) -> None:
        """Close all clients."""
        for client in self.sockets:
            client.close()

    async def _connect(self) -> None:
        client = socket(AF_INET, SOCK_STREAM)
        client.setblocking(False)
        client.setsockopt(SOL_SOCKET, SO_RCVBUF, _UNREAD_BYTES)
        client.bind((_CROWD_ADDRESS, 0))
        self.sockets.append(client)
        address = self.address.address, self.address.port
        with suppress(OSError):
            await get_running_loop().sock_connect(client, address)

    async def _send(self, client: socket, parts: list[bytes]) -> None:
        loop = get_running_loop()
        with suppress(OSError, TimeoutError):
            for part in parts:
                async with timeout(_STALL_SECONDS):
                    await loop.sock_sendall(client, part)
