"""Room that a pool needs, from how much it keeps busy over time."""

import math
from typing import Final

from attrs import define, field

__all__ = ('RoomNeed',)

# Share of its room that a pool can keep busy without making jobs wait.
_BUSY_SHARE: Final = 0.65
# A host that is told to move takes work so much later.
_AHEAD_SECONDS: Final = 2.2
# A rise is measured between now and so long ago.
_RISE_SECONDS: Final = 1.0
# Samples this near to each other are averaged.
_MEAN_SECONDS: Final = 0.4
# A pool keeps what it needed within this time, longer than a lull in a burst.
_KEPT_SECONDS: Final = 3.0
# No more than so many times the demand of now is expected.
_MOST_TIMES: Final = 3.0


@define(eq=False)
class RoomNeed:
    """Samples of the processor that a pool could use, and the need.

    Answers bursts that build up over seconds: hosts are asked for as early
    as the rise shows.
    """

    samples: list[tuple[float, int]] = field(factory=list)
    needs: list[tuple[float, int]] = field(factory=list)
    # Processor that the pool could use lately.
    used: float = 0

    def note(self, usable: int, largest: int, now: float) -> None:
        """Note what the pool, and the largest job of it, could use."""
        oldest = now - _RISE_SECONDS - _MEAN_SECONDS
        self.samples = [
            (at, found) for at, found in self.samples if at >= oldest
        ]
        self.samples.append((now, usable))
        self.needs = [
            (at, need) for at, need in self.needs if at >= now - _KEPT_SECONDS
        ]
        self.needs.append((now, self._get_need(largest, now)))

    def get_latest(self) -> int:
        """Get the room that is needed soon."""
        return self.needs[-1][1] if self.needs else 0

    def get_kept(self) -> int:
        """Get the room that is not to be given away."""
        return max((need for _, need in self.needs), default=0)

    def _get_need(self, largest: int, now: float) -> int:
        latest = self._get_mean(now - _MEAN_SECONDS, now, 0)
        self.used = latest
        begin = now - _RISE_SECONDS - _MEAN_SECONDS
        # Without a sample from before nothing tells a rise.
        former = self._get_mean(begin, now - _RISE_SECONDS, latest)
        # A job that came as a whole tells nothing of others to come.
        rise = max(latest - former - largest, 0) / _RISE_SECONDS
        expected = min(latest + rise * _AHEAD_SECONDS, latest * _MOST_TIMES)
        return math.ceil(expected / _BUSY_SHARE)

    def _get_mean(self, begin: float, end: float, default: float) -> float:
        found = [usable for at, usable in self.samples if begin <= at <= end]
        return sum(found) / len(found) if found else default
