"""Forecast of the capacity that a pool needs, from its recent demand."""

import math
from typing import Final

from attrs import define, field

__all__ = ('CapacityForecast',)

# Share of its capacity that a pool can use without making jobs wait.
_TARGET_UTILIZATION: Final = 0.65
# Time from the order to move a host until the host accepts runs.
_LEAD_SECONDS: Final = 2.2
# Period over which a rise in demand is measured.
_RISE_SECONDS: Final = 1.0
# Samples within this period are averaged.
_AVERAGING_SECONDS: Final = 0.4
# A pool retains the highest forecast of this period, which is longer than a
# pause within a burst.
_RETENTION_SECONDS: Final = 3.0
# Limit of the forecast demand, as a multiple of the current demand.
_MAX_GROWTH: Final = 3.0


@define(eq=False)
class CapacityForecast:
    """Samples of the CPU demand of a pool, and forecasts made from them.

    A rise in demand is extrapolated, so that hosts are requested early in
    bursts that build up over seconds.
    """

    samples: list[tuple[float, int]] = field(factory=list)
    forecasts: list[tuple[float, int]] = field(factory=list)
    # Recent demand of the pool, in thousandths of a core.
    recent_demand: float = 0

    def add_sample(self, usable: int, largest: int, now: float) -> None:
        """Add a sample: the CPU usable by the pool and by its largest job."""
        oldest = now - _RISE_SECONDS - _AVERAGING_SECONDS
        self.samples = [
            (at, sampled) for at, sampled in self.samples if at >= oldest
        ]
        self.samples.append((now, usable))
        self.forecasts = [
            (at, forecast)
            for at, forecast in self.forecasts
            if at >= now - _RETENTION_SECONDS
        ]
        self.forecasts.append((now, self._get_forecast(largest, now)))

    def get_required(self) -> int:
        """Get the latest forecast of the required capacity."""
        return self.forecasts[-1][1] if self.forecasts else 0

    def get_retained(self) -> int:
        """Get the capacity to retain: the highest recent forecast."""
        return max((forecast for _, forecast in self.forecasts), default=0)

    def _get_forecast(self, largest: int, now: float) -> int:
        latest = self._get_mean(now - _AVERAGING_SECONDS, now, 0)
        self.recent_demand = latest
        begin = now - _RISE_SECONDS - _AVERAGING_SECONDS
        # Without an earlier sample, no rise is assumed.
        earlier = self._get_mean(begin, now - _RISE_SECONDS, latest)
        # A single large job does not predict further jobs.
        rise = max(latest - earlier - largest, 0) / _RISE_SECONDS
        expected = min(latest + rise * _LEAD_SECONDS, latest * _MAX_GROWTH)
        return math.ceil(expected / _TARGET_UTILIZATION)

    def _get_mean(self, begin: float, end: float, default: float) -> float:
        sampled = [usable for at, usable in self.samples if begin <= at <= end]
        return sum(sampled) / len(sampled) if sampled else default
