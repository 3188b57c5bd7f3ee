"""Workers that were forgotten a short time ago."""

from attrs import define, field

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.sender import LATE_ORDER_SECONDS

__all__ = ('RecentWorkers',)


@define(eq=False)
class RecentWorkers:
    """Forgotten workers to which orders may still be on their way."""

    # In the order of the times at which they were forgotten.
    forgotten_at: dict[WorkerId, float] = field(factory=dict)

    def add(self, worker: WorkerId, now: float) -> None:
        """Add a worker."""
        self.forgotten_at.pop(worker, None)
        self.forgotten_at[worker] = now

    def prune(self, now: float) -> None:
        """Remove the workers that no late order can reach any more."""
        for worker, at in list(self.forgotten_at.items()):
            if at + LATE_ORDER_SECONDS > now:
                return
            self.forgotten_at.pop(worker)

    def get_latest_arrival(self, worker: WorkerId) -> float | None:
        """Get the time until which orders of before may reach a worker."""
        forgotten_at = self.forgotten_at.get(worker)
        if forgotten_at is None:
            return None
        return forgotten_at + LATE_ORDER_SECONDS
