"""Outgoing connection to another process."""

from asyncio import Task
from typing import Final

from attrs import define, frozen

from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.transport.outbox import Outbox

__all__ = ('IDLE_TIMEOUT_SECONDS', 'PeerAddress', 'PeerConnection')

# A connection opened on demand is closed after this time without messages.
IDLE_TIMEOUT_SECONDS: Final = 12.0


@frozen
class PeerAddress:
    """Process identifier and listen address of another process."""

    process: ProcessId
    listen_address: SocketAddress


@define(eq=False)
class PeerConnection:
    """Outgoing connection to one process and its queue of messages."""

    address: PeerAddress
    outbox: Outbox
    sender: 'Task[None] | None' = None
    is_permanent: bool = True
    is_connected: bool = False
    last_used_at: float = 0

    def is_idle(self, now: float) -> bool:
        """Return whether the connection has not been used for too long."""
        if self.is_permanent:
            return False
        return now - self.last_used_at >= IDLE_TIMEOUT_SECONDS
