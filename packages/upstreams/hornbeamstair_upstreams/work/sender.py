"""Base class of the senders of orders to workers."""

from abc import ABC, abstractmethod
from typing import ClassVar

from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)

__all__ = ('WorkerSender',)


class WorkerSender(ABC):
    """Sender of orders to workers; sends each order at most once."""

    name: ClassVar[str]

    @abstractmethod
    async def poll(self, order: PollOrder) -> PollAnswer:
        """Poll a worker: renew its lease, get its runs and their ends."""

    @abstractmethod
    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Stop a run."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
