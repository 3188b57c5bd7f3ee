"""Base class of clients of the platform's interface to hosts."""

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
    """Client of the platform's interface to hosts; it never resends orders."""

    name: ClassVar[str]

    @abstractmethod
    async def list_hosts(self) -> tuple[ListedHost, ...] | None:
        """List all hosts; None if the list could not be read completely."""

    @abstractmethod
    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Order the maintenance of a host now."""

    @abstractmethod
    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Order the move of a host to another pool now."""
