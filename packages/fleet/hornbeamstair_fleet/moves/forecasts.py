"""Forecasts of the capacity that pools require."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import ClassVar, Final

from attrs import define, field

from hornbeamstair_core.ids import PoolName
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_fleet.moves.turns import (
    Turn,
    WorkArrivals,
    expect_turns,
    find_turns,
)

__all__ = (
    'CapacityForecast',
    'DemandForecast',
    'RiseForecast',
    'TurnForecast',
)

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
# Error of the time at which a turn is expected.
_TURN_ERROR_SECONDS: Final = 0.6
# Hosts are moved this long before a turn.
_TURN_LEAD_SECONDS: Final = _LEAD_SECONDS + _TURN_ERROR_SECONDS
# Time after which what arrives tells how high a turn is this time.
_TURN_SEEN_SECONDS: Final = 2.0
# Part of all hosts that may wait for a turn.
_MAX_TURN_SHARE: Final = 0.5
# Interval at which turns are searched for.
_TURN_UPDATE_SECONDS: Final = 0.5
_NEVER: Final = -1000.0
# Arrivals within the shorter time tell a rise early, those within the longer
# one are still being worked on after a fall.
_RATE_SECONDS: Final = (0.75, 2.0)
# Limit of the rate that is expected, as a multiple of the present one.
_MAX_RATE_GROWTH: Final = 1.5
# Time in which hosts that arrive should do the work that waits.
_BACKLOG_SECONDS: Final = 2.0


@define(eq=False)
class DemandForecast(ABC):
    """Forecast of the capacity that each pool requires."""

    name: ClassVar[str]

    @abstractmethod
    def update(
        self,
        demands: Mapping[PoolName, PoolDemand],
        arrivals: Mapping[PoolName, WorkArrivals],
        now: float,
    ) -> None:
        """Learn the present demand and the work that has arrived."""

    @abstractmethod
    def get_required(self, pool: PoolName) -> int:
        """Get the capacity to have once a host that moves now arrives."""

    @abstractmethod
    def get_retained(self, pool: PoolName) -> int:
        """Get the capacity that hosts at rest must not leave."""

    @abstractmethod
    def knows_next_rise(self, pool: PoolName) -> bool:
        """Return whether hosts at rest can be brought back in time."""


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

    def add_sample(
        self,
        usable: int,
        largest: int,
        now: float,
        limit: float = math.inf,
    ) -> None:
        """Add a sample: the CPU usable by the pool and by its largest job.

        The forecast of the required capacity does not exceed the limit.
        """
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
        forecast = self._get_forecast(largest, now)
        self.recent_demand = min(self.recent_demand, limit)
        self.forecasts.append((now, math.ceil(min(forecast, limit))))

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


@define(eq=False)
class RiseForecast(DemandForecast):
    """Extrapolates the demand that each pool has now."""

    name: ClassVar[str] = 'rise'

    pools: dict[PoolName, CapacityForecast] = field(factory=dict)

    def update(
        self,
        demands: Mapping[PoolName, PoolDemand],
        arrivals: Mapping[PoolName, WorkArrivals],
        now: float,
    ) -> None:
        """Add a sample of each pool."""
        for pool, demand in demands.items():
            forecast = self.pools.setdefault(pool, CapacityForecast())
            limit = _get_limit(demand, arrivals.get(pool), now)
            forecast.add_sample(demand.usable, demand.largest, now, limit)

    def get_required(self, pool: PoolName) -> int:
        """Get the latest forecast."""
        return self.pools[pool].get_required()

    def get_retained(self, pool: PoolName) -> int:
        """Get the highest recent forecast."""
        return self.pools[pool].get_retained()

    def knows_next_rise(self, pool: PoolName) -> bool:
        """Return that a rise is known only once it has begun."""
        return False


@define(eq=False)
class TurnForecast(DemandForecast):
    """Expects the turns of the demand that were seen before."""

    name: ClassVar[str] = 'turns'

    expected: dict[PoolName, Turn] = field(factory=dict)
    updated_at: float = _NEVER
    now: float = _NEVER
    # Capacity of all pools.
    total_capacity: float = math.inf

    def update(
        self,
        demands: Mapping[PoolName, PoolDemand],
        arrivals: Mapping[PoolName, WorkArrivals],
        now: float,
    ) -> None:
        """Find the turns of all pools."""
        self.now = now
        self.total_capacity = sum(
            demand.capacity for demand in demands.values()
        )
        if now - self.updated_at < _TURN_UPDATE_SECONDS:
            return
        self.updated_at = now
        begin = min(
            (work.get_begin() for work in arrivals.values()), default=math.inf
        )
        if begin >= now:
            self.expected = {}
            return
        turns = {
            pool: find_turns(work, begin, now)
            for pool, work in arrivals.items()
        }
        self.expected = expect_turns(turns, now)

    def get_required(self, pool: PoolName) -> int:
        """Get the capacity for the turn that comes or has just begun."""
        turn = self.expected.get(pool)
        if turn is None:
            return 0
        end = min(turn.begin + _TURN_SEEN_SECONDS, turn.end)
        if not turn.begin - _TURN_LEAD_SECONDS <= self.now < end:
            return 0
        limit = self.total_capacity * _MAX_TURN_SHARE
        return math.ceil(min(turn.rate / _TARGET_UTILIZATION, limit))

    def get_retained(self, pool: PoolName) -> int:
        """Get the capacity for the turn that comes or has just begun."""
        return self.get_required(pool)

    def knows_next_rise(self, pool: PoolName) -> bool:
        """Return whether a turn is expected."""
        turn = self.expected.get(pool)
        return turn is not None and turn.begin > self.now

    def get_turn_in_ms(self, pool: PoolName) -> int | None:
        """Get the time until the turn of a pool; 0 while it lasts."""
        turn = self.expected.get(pool)
        if turn is None:
            return None
        return to_milliseconds(max(turn.begin - self.now, 0))


def _get_limit(
    demand: PoolDemand,
    arrivals: WorkArrivals | None,
    now: float,
) -> float:
    """Get the capacity for the work that arrives and for what waits.

    What waits now will be done soon, or be late in any case, when the hosts
    arrive that are moved now.
    """
    if arrivals is None:
        return math.inf
    short, long = (arrivals.get_rate(span, now) for span in _RATE_SECONDS)
    growth = (short - long) / (_RATE_SECONDS[1] - _RATE_SECONDS[0]) * 2
    rising = short + max(growth, 0) * _LEAD_SECONDS
    rate = max(min(rising, short * _MAX_RATE_GROWTH), long)
    backlog = demand.waiting_work / _BACKLOG_SECONDS
    return rate / _TARGET_UTILIZATION + backlog + demand.late
