"""Counters of the work done by placement."""

from attrs import define

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

    def clear(self) -> None:
        """Reset the counters."""
        self.asked = 0
        self.examined = 0
        self.placed = 0
