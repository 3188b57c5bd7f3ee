"""Count of what placing tasks takes."""

from attrs import define

__all__ = ('PlacementEffort',)


@define(eq=False)
class PlacementEffort:
    """Work of the placement since the last report."""

    # Phases whose tasks asked for room.
    asked: int = 0
    # Workers that were examined for a task.
    examined: int = 0
    # Runs that got room.
    placed: int = 0

    def clear(self) -> None:
        """Begin to count anew."""
        self.asked = 0
        self.examined = 0
        self.placed = 0
