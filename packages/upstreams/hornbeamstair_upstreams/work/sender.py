"""Base class of the senders of orders to workers."""

from abc import ABC, abstractmethod
from typing import ClassVar, Final

from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)

__all__ = (
    'LATE_ORDER_SECONDS',
    'ORDER_VALID_SECONDS',
    'START_ORDER_SECONDS',
    'WorkerSender',
)

# Time after its decision in which an order has to be sent.
ORDER_VALID_SECONDS: Final = 0.5
# Time after the decision to start a run in which its start order may be sent.
START_ORDER_SECONDS: Final = 5.0
# Time after which an order without an answer is no longer executed. Workers
# and networks hold one for seconds; there is no stated bound.
LATE_ORDER_SECONDS: Final = 12.0


class WorkerSender(ABC):
    """Sender of orders to workers; sends each order at most once.

    An order is sent by `valid_until`, a time in seconds on the clock of this
    process, or never. Its outcome is `unsent` or `undelivered` only if it is
    certain that it never reaches the worker.
    """

    name: ClassVar[str]

    @abstractmethod
    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """Poll a worker: renew its lease, get its runs and their ends."""

    @abstractmethod
    async def start(
        self,
        order: StartOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(
        self,
        order: StopOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Stop a run."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
