"""Turns of a demand that rises and falls again and again."""

import math
from collections.abc import Iterator, Mapping, Sequence
from itertools import pairwise
from statistics import median
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import PoolName

__all__ = ('Turn', 'WorkArrivals', 'expect_turns', 'find_turns')

_BIN_SECONDS: Final = 0.25
# Work that arrived before this time is forgotten.
_HISTORY_SECONDS: Final = 120.0
# Arrivals within this time are averaged: a burst of a second is no turn.
_SMOOTHING_BINS: Final = 4
# A turn begins where the rate is this multiple of its mean, and ends where it
# falls below the mean.
_BEGIN_RATIO: Final = 2.0
# Shorter turns are over before hosts that were moved for them have arrived.
_MIN_TURN_SECONDS: Final = 2.5
# Demand with less of its work in turns is not forecast by them.
_MIN_WORK_SHARE: Final = 0.6
# A turn that is late by this part of its length is not expected any more.
_MAX_DELAY_SHARE: Final = 0.3


@frozen
class Turn:
    """Period in which a pool is asked for most of its work."""

    begin: float
    end: float
    # Work per second, in thousandths of a core.
    rate: float
    is_over: bool = True

    @property
    def length(self) -> float:
        """Get the length in seconds."""
        return self.end - self.begin


@define(eq=False)
class WorkArrivals:
    """Work that callers have asked a pool for, by its time of arrival."""

    # Thousandths of a core-second by the number of the time bin.
    bins: dict[int, float] = field(factory=dict)

    def add(self, at: float, work: float) -> None:
        """Add work, in thousandths of a core-second."""
        number = math.floor(at / _BIN_SECONDS)
        self.bins[number] = self.bins.get(number, 0) + work

    def forget_old(self, now: float) -> None:
        """Forget the work that arrived long ago."""
        oldest = math.floor((now - _HISTORY_SECONDS) / _BIN_SECONDS)
        while self.bins and next(iter(self.bins)) < oldest:
            self.bins.pop(next(iter(self.bins)))

    def get_series(self, begin: float, now: float) -> list[float]:
        """Get the work of each time bin up to the last that is complete."""
        first = math.floor(begin / _BIN_SECONDS)
        last = math.floor(now / _BIN_SECONDS)
        return [self.bins.get(number, 0) for number in range(first, last)]

    def get_rate(self, seconds: float, now: float) -> float:
        """Get the mean work per second of a time that ends now."""
        series = self.get_series(now - seconds, now)
        return sum(series) / (len(series) * _BIN_SECONDS)

    def get_begin(self) -> float:
        """Get the time of the first arrival; infinite if there is none."""
        return min(self.bins, default=math.inf) * _BIN_SECONDS


def find_turns(arrivals: WorkArrivals, begin: float, now: float) -> list[Turn]:
    """Find the turns since a time; none if the demand does not come so."""
    series = arrivals.get_series(begin, now)
    total = sum(series)
    if not total:
        return []
    spans = [
        (first, last)
        for first, last in _find_spans(series, total / len(series))
        if (last - first) * _BIN_SECONDS >= _MIN_TURN_SECONDS
        or last == len(series)
    ]
    in_turns = sum(sum(series[first:last]) for first, last in spans)
    if in_turns < total * _MIN_WORK_SHARE:
        return []
    offset = math.floor(begin / _BIN_SECONDS)
    return [_make_turn(series, offset, span) for span in spans]


def expect_turns(
    turns: Mapping[PoolName, Sequence[Turn]],
    now: float,
) -> dict[PoolName, Turn]:
    """Forecast the current or next turn of each pool that has had one.

    A pool returns after the usual interval between its turns. Before any has
    returned, and if all have had a turn, they return in the same order.
    """
    over = {
        pool: [turn for turn in seen if turn.is_over]
        for pool, seen in turns.items()
    }
    lengths = {
        pool: median(turn.length for turn in seen)
        for pool, seen in over.items()
        if seen
    }
    begins = _expect_begins(turns, lengths, now)
    return {
        pool: Turn(
            begins[pool],
            begins[pool] + length,
            median(turn.rate for turn in over[pool]),
            is_over=False,
        )
        for pool, length in lengths.items()
        if pool in begins
        and (
            not turns[pool][-1].is_over
            or now <= begins[pool] + length * _MAX_DELAY_SHARE
        )
    }


def _make_turn(
    series: Sequence[float], offset: int, span: tuple[int, int]
) -> Turn:
    first, last = span
    return Turn(
        (first + offset) * _BIN_SECONDS,
        (last + offset) * _BIN_SECONDS,
        sum(series[first:last]) / ((last - first) * _BIN_SECONDS),
        is_over=last < len(series),
    )


def _find_spans(
    series: Sequence[float], mean: float
) -> Iterator[tuple[int, int]]:
    """Find where the smoothed series is above its mean, as index ranges."""
    half = _SMOOTHING_BINS // 2
    first = -1
    for at, rate in enumerate(_smooth(series), 1):
        if first < 0 and rate >= mean * _BEGIN_RATIO:
            first = max(at - half, 0)
        elif first >= 0 and rate < mean:
            yield first, max(at - half, first)
            first = -1
    if first >= 0:
        yield first, len(series)


def _smooth(series: Sequence[float]) -> Iterator[float]:
    for at in range(1, len(series) + 1):
        recent = series[max(at - _SMOOTHING_BINS, 0) : at]
        yield sum(recent) / _SMOOTHING_BINS


def _expect_begins(
    turns: Mapping[PoolName, Sequence[Turn]],
    lengths: Mapping[PoolName, float],
    now: float,
) -> dict[PoolName, float]:
    begins = _expect_returns(turns) or _expect_order(turns, lengths, now)
    # A turn that lasts is the one to expect.
    lasting = {
        pool: seen[-1].begin
        for pool, seen in turns.items()
        if seen and not seen[-1].is_over
    }
    return begins | lasting


def _expect_returns(
    turns: Mapping[PoolName, Sequence[Turn]],
) -> dict[PoolName, float]:
    """Expect each pool after the interval between its turns, or any's."""
    intervals = {
        pool: [later.begin - turn.begin for turn, later in pairwise(seen)]
        for pool, seen in turns.items()
    }
    known = [interval for own in intervals.values() for interval in own]
    return {
        pool: seen[-1].begin + median(intervals[pool] or known)
        for pool, seen in turns.items()
        if known and seen
    }


def _expect_order(
    turns: Mapping[PoolName, Sequence[Turn]],
    lengths: Mapping[PoolName, float],
    now: float,
) -> dict[PoolName, float]:
    """Expect the pools in the order of their first turns, if all had one."""
    if not lengths or not all(turns.values()):
        return {}
    order = sorted(turns, key=lambda pool: turns[pool][-1].begin)
    latest = turns[order[-1]][-1]
    length = median(lengths.values())
    if now > latest.begin + length * (1 + _MAX_DELAY_SHARE):
        # The first of them has not returned.
        return {}
    return {
        pool: latest.begin + length * (position + 1)
        for position, pool in enumerate(order[:-1])
    }
