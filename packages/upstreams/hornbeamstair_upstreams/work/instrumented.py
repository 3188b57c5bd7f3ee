"""Sender of orders that measures the response times of workers."""

from collections.abc import Awaitable, Callable
from typing import ClassVar

from attrs import define

from hornbeamstair_core.metrics import Metrics
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)
from hornbeamstair_upstreams.work.sender import WorkerSender

__all__ = ('InstrumentedSender',)


@define(eq=False)
class InstrumentedSender(WorkerSender):
    """Wrapper that times the start and stop orders of another sender."""

    name: ClassVar[str] = 'measured'

    sender: WorkerSender
    metrics: Metrics
    get_time: Callable[[], float]

    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """Poll a worker: renew its lease, get its runs and their ends."""
        return await self.sender.poll(order, valid_until)

    async def start(
        self,
        order: StartOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Start a run."""
        pending_answer = self.sender.start(order, valid_until)
        return await self._measure('start', pending_answer)

    async def stop(
        self,
        order: StopOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Stop a run."""
        pending_answer = self.sender.stop(order, valid_until)
        return await self._measure('stop', pending_answer)

    async def close(self) -> None:
        """Close the connections."""
        await self.sender.close()

    async def _measure(
        self,
        order: str,
        pending_answer: Awaitable[OrderAnswer],
    ) -> OrderAnswer:
        started_at = self.get_time()
        answer = await pending_answer
        elapsed = self.get_time() - started_at
        self.metrics.orders.labels(order, answer.outcome.value).observe(elapsed)
        return answer
