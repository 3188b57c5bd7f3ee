"""Base class of the ways to give orders to workers."""

from abc import ABC, abstractmethod
from typing import ClassVar

from hornbeamstair_upstreams.work.messages import (
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    StartOrder,
    StopOrder,
)

__all__ = ('WorkerSender',)


class WorkerSender(ABC):
    """Protocol by which workers take orders; no order is sent twice."""

    name: ClassVar[str]

    @abstractmethod
    async def hold(self, order: HoldOrder) -> HoldAnswer:
        """Renew the lease and look at the runs and their ends."""

    @abstractmethod
    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Stop a run."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
