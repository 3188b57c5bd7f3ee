"""Monitor of the timer delay of the event loop."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.events import (
    Event,
    EventLevel,
    log_event,
    register_event,
)
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import to_milliseconds

__all__ = ('LoopLateEvent', 'LoopMonitor')

_TIMER_INTERVAL_SECONDS: Final = 0.05
_REPORT_INTERVAL_SECONDS: Final = 1.0
# Heartbeat interval of the replicated log: longer delays hold up heartbeats.
_MAX_DELAY_SECONDS: Final = 0.1


@register_event
@frozen
class LoopLateEvent(Event):
    """Event loop that called its timers late."""

    number = 1003
    name = 'loop_late'
    summary = 'The event loop was late for its timers: worst and mean delay.'
    level = EventLevel.warning

    worst_ms: int
    mean_ms: int


@define(eq=False)
class LoopMonitor:
    """Measures the delay of a periodic timer."""

    metrics: Metrics
    get_time: Callable[[], float]
    task: 'Task[None] | None' = field(default=None, init=False)

    def start(self) -> None:
        """Start measuring."""
        self.task = create_task(self._measure_forever())

    def stop(self) -> None:
        """Stop measuring."""
        if self.task is not None:
            self.task.cancel()

    async def _measure_forever(self) -> None:
        while True:
            await self._measure_interval()

    async def _measure_interval(self) -> None:
        delays: list[float] = []
        began = self.get_time()
        while self.get_time() - began < _REPORT_INTERVAL_SECONDS:
            due = self.get_time() + _TIMER_INTERVAL_SECONDS
            await sleep(_TIMER_INTERVAL_SECONDS)
            delays.append(max(self.get_time() - due, 0))
            self.metrics.loop_late.observe(delays[-1])
        worst = max(delays)
        if worst >= _MAX_DELAY_SECONDS:
            mean = sum(delays) / len(delays)
            log_event(
                LoopLateEvent(
                    to_milliseconds(worst),
                    to_milliseconds(mean),
                ),
            )
