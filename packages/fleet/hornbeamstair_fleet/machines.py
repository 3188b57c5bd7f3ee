"""Base class of the ways to reach the platform's interface to machines."""

from abc import ABC, abstractmethod
from typing import ClassVar

from hornbeamstair_core.ids import PoolName
from hornbeamstair_fleet.waves.messages import (
    Machine,
    MachineOrder,
    MachineOutcome,
)

__all__ = ('MachinesClient',)


class MachinesClient(ABC):
    """Interface to the machines; no order is sent twice."""

    name: ClassVar[str]

    @abstractmethod
    async def list_machines(self) -> tuple[Machine, ...] | None:
        """List all machines; None if no whole list was had."""

    @abstractmethod
    async def maintain(
        self,
        order: MachineOrder,
        wave: int,
    ) -> MachineOutcome:
        """Have a machine maintained now."""

    @abstractmethod
    async def move(
        self,
        order: MachineOrder,
        pool: PoolName,
    ) -> MachineOutcome:
        """Move a machine to another pool now."""
