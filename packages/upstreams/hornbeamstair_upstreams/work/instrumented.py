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

    async def poll(self, order: PollOrder) -> PollAnswer:
        """Poll a worker: renew its lease, get its runs and their ends."""
        return await self.sender.poll(order)

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""
        return await self._measure('start', self.sender.start(order))

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Stop a run."""
        return await self._measure('stop', self.sender.stop(order))

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
