"""Connections to upstreams: no hidden retries, no name look-ups."""

from contextvars import ContextVar
from socket import IPPROTO_TCP
from typing import Any, Final

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected
from aiosonic.resolver import AbstractResolver

from hornbeamstair_upstreams.messages import Attempt

__all__ = ('IpResolver', 'TrackedConnection', 'current_attempt')

current_attempt: Final[ContextVar[Attempt]] = ContextVar('current_attempt')


class TrackedConnection(Connection):
    """Connection that tells its attempt when bytes leave."""

    @property
    def reused(self) -> bool:
        """Report a fresh connection: the client never sends twice."""
        return False

    @reused.setter
    def reused(self, is_reused: bool) -> None:
        """Ignore what the client found."""

    def write(self, data: bytes) -> None:
        """Write bytes and record that they may have left."""
        current_attempt.get().bytes_written = True
        # Only a whole answer makes the connection fit for another call.
        self.keep = False
        super().write(data)

    async def readline(self) -> bytes:
        """Read a whole line; ConnectionDisconnected if it is cut."""
        line: bytes = await super().readline()
        if not line.endswith(b'\n'):
            self.keep = False
            raise ConnectionDisconnected
        return line


class IpResolver(AbstractResolver):
    """Resolver of IP numbers, which needs no other thread."""

    async def resolve(
        self,
        host: str,
        port: int = 0,
        family: int = 0,
    ) -> list[dict[str, Any]]:
        """Return the address as it is."""
        return [
            {
                'hostname': host,
                'host': host,
                'port': port,
                'family': family,
                # asyncio sets TCP_NODELAY only where the protocol is named.
                'proto': IPPROTO_TCP,
                'flags': 0,
            },
        ]

    async def close(self) -> None:
        """Release nothing."""
