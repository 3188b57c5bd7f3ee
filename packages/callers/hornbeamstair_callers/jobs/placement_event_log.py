"""Event log of the cost of placement passes."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.events import PlacementLoadEvent
from hornbeamstair_core.events import log_event
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.places.events import PlacesEvent
from hornbeamstair_upstreams.work.stats import PlacementStats

__all__ = ('PlacementEventLog',)

# Same interval as that of the `log_load` event, so that both can be compared.
_REPORT_SECONDS: Final = 1.0


@define(eq=False)
class PlacementEventLog:
    """Counts the placement passes and the time they take on the event loop."""

    metrics: Metrics
    get_time: Callable[[], float]
    reported_at: float = field(default=0, init=False)
    passes: int = field(default=0, init=False)
    spent_seconds: float = field(default=0, init=False)

    def measure(
        self,
        place: Callable[[], None],
        stats: PlacementStats,
    ) -> None:
        """Run one placement pass; log the totals about once a second."""
        started_at = self.get_time()
        place()
        ended_at = self.get_time()
        self.passes += 1
        self.spent_seconds += ended_at - started_at
        self.metrics.placement_time.observe(ended_at - started_at)
        if ended_at - self.reported_at >= _REPORT_SECONDS:
            self._report(stats, ended_at)

    def _report(self, stats: PlacementStats, now: float) -> None:
        if self.reported_at:
            log_event(
                PlacementLoadEvent(
                    self.passes,
                    to_milliseconds(self.spent_seconds),
                    stats.asked,
                    stats.examined,
                    stats.placed,
                    to_milliseconds(now - self.reported_at),
                ),
            )
        self._report_places(stats)
        stats.clear()
        self.reported_at = now
        self.passes = 0
        self.spent_seconds = 0

    def _report_places(self, stats: PlacementStats) -> None:
        counts = {
            'near': stats.near,
            'away': stats.away,
            'waits_begun': stats.waits_begun,
            'rewarded': stats.waits_rewarded,
            'given_up': stats.waits_given_up,
            'vain': stats.waits_vain,
        }
        if not any(counts.values()):
            return
        for outcome, count in counts.items():
            self.metrics.places.labels(outcome).inc(count)
        waited_ms = to_milliseconds(stats.waited_seconds)
        log_event(PlacesEvent(**counts, waited_ms=waited_ms))
