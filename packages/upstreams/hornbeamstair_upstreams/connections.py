"""Connections to upstreams without implicit retries or name resolution."""

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
    """Connection that marks the current attempt when bytes are written."""

    @property
    def reused(self) -> bool:
        """Report a new connection, so that aiosonic never resends a request."""
        return False

    @reused.setter
    def reused(self, is_reused: bool) -> None:
        """Ignore the value that aiosonic sets."""

    def write(self, data: bytes) -> None:
        """Write bytes and mark that they may have been sent."""
        current_attempt.get().bytes_written = True
        # Reuse the connection only after a complete answer.
        self.keep = False
        super().write(data)

    async def readline(self) -> bytes:
        """Read a complete line; ConnectionDisconnected if it is truncated."""
        line: bytes = await super().readline()
        if not line.endswith(b'\n'):
            self.keep = False
            raise ConnectionDisconnected
        return line


class IpResolver(AbstractResolver):
    """Resolver for IP addresses; avoids the thread used for DNS look-ups."""

    async def resolve(
        self,
        host: str,
        port: int = 0,
        family: int = 0,
    ) -> list[dict[str, Any]]:
        """Return the address unchanged."""
        return [
            {
                'hostname': host,
                'host': host,
                'port': port,
                'family': family,
                # asyncio sets TCP_NODELAY only if the protocol is given.
                'proto': IPPROTO_TCP,
                'flags': 0,
            },
        ]

    async def close(self) -> None:
        """Do nothing; there are no resources to release."""
