"""Watch on the event loop: how late it is for its timers."""

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

__all__ = ('LoopLateEvent', 'LoopWatch')

_INTERVAL_SECONDS: Final = 0.05
_REPORT_SECONDS: Final = 1.0
# A heartbeat of the log goes out this often.
_LATE_SECONDS: Final = 0.1


@register_event
@frozen
class LoopLateEvent(Event):
    """Loop that was late for its timers."""

    number = 1003
    name = 'loop_late'
    summary = 'The loop was late for its timers: by how much at most, and mean.'
    level = EventLevel.warning

    worst_ms: int
    mean_ms: int


@define(eq=False)
class LoopWatch:
    """Timer that measures how late it is called."""

    metrics: Metrics
    get_time: Callable[[], float]
    watching: 'Task[None] | None' = field(default=None, init=False)

    def start(self) -> None:
        """Watch from now on."""
        self.watching = create_task(self._keep_watching())

    def stop(self) -> None:
        """Watch no more."""
        if self.watching is not None:
            self.watching.cancel()

    async def _keep_watching(self) -> None:
        while True:
            await self._watch_span()

    async def _watch_span(self) -> None:
        late: list[float] = []
        began = self.get_time()
        while self.get_time() - began < _REPORT_SECONDS:
            due = self.get_time() + _INTERVAL_SECONDS
            await sleep(_INTERVAL_SECONDS)
            late.append(max(self.get_time() - due, 0))
            self.metrics.loop_late.observe(late[-1])
        worst = max(late)
        if worst >= _LATE_SECONDS:
            mean = sum(late) / len(late)
            log_event(
                LoopLateEvent(
                    to_milliseconds(worst),
                    to_milliseconds(mean),
                ),
            )
