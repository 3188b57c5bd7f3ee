"""Counters of the work done by placement."""

from attrs import define, fields

__all__ = ('PlacementStats',)


@define(eq=False)
class PlacementStats:
    """Placement counters since the last report."""

    # Phases for which a worker was requested.
    asked: int = 0
    # Workers that were checked for a task.
    examined: int = 0
    # Runs that were placed.
    placed: int = 0

    # Runs placed on the rack that their task prefers, and elsewhere.
    near: int = 0
    away: int = 0
    # Phases that began to wait for a rack.
    waits_begun: int = 0
    # Tasks of such phases that got the rack, that were placed elsewhere, and
    # those of the latter for which no room was expected in time.
    waits_rewarded: int = 0
    waits_given_up: int = 0
    waits_vain: int = 0
    # Total of their waits.
    waited_seconds: float = 0

    def count_wait_without_place(
        self, seconds: float, *, is_vain: bool
    ) -> None:
        """Count a task that does not wait on."""
        self.waits_given_up += 1
        self.waits_vain += is_vain
        self.waited_seconds += seconds

    def clear(self) -> None:
        """Reset the counters."""
        for counter in fields(type(self)):
            setattr(self, counter.name, 0)
