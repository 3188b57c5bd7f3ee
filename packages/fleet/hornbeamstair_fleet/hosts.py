"""Base class of the ways to reach the platform's interface to hosts."""

from abc import ABC, abstractmethod
from typing import ClassVar

from hornbeamstair_core.ids import PoolName
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    ListedHost,
)

__all__ = ('HostsClient',)


class HostsClient(ABC):
    """Interface to the hosts; no order is sent twice."""

    name: ClassVar[str]

    @abstractmethod
    async def list_hosts(self) -> tuple[ListedHost, ...] | None:
        """List all hosts; None if no whole list was had."""

    @abstractmethod
    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Have a host maintained now."""

    @abstractmethod
    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Move a host to another pool now."""
