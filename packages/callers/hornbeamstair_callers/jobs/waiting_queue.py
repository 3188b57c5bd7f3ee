"""Waiting jobs of one service in their order."""

from bisect import bisect_left, insort

from attrs import define, field

from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_core.ids import JobId, ServiceName

__all__ = ('WaitingJob', 'WaitingQueue')

# Sort key of a job, then what tells it from others with the same.
_Place = tuple[tuple[float, ...], JobId]


@define(eq=False)
class WaitingJob:
    """Job with its place in the order and its ready tasks."""

    key: tuple[float, ...]
    # Wall-clock time up to which the key holds.
    until: float
    service: ServiceName | None
    job: Job
    phases: list[ReadyPhase]

    def get_place(self) -> _Place:
        """Get the place in the order."""
        return self.key, self.job.spec.job


@define(eq=False)
class WaitingQueue:
    """Jobs in their order, and the turn of those that are not the first."""

    jobs: list[WaitingJob] = field(factory=list)
    # Place at which the next turn of the others begins.
    turn: _Place | None = None

    def put(self, waiting: WaitingJob) -> None:
        """Put a job in its place."""
        insort(self.jobs, waiting, key=WaitingJob.get_place)

    def drop(self, waiting: WaitingJob) -> None:
        """Take a job out."""
        self.jobs.pop(self._find(waiting.get_place()))

    def get_turn(self) -> int:
        """Get where the turn of the jobs begins that are not the first."""
        return 0 if self.turn is None else self._find(self.turn)

    def end_turn(self, at: int) -> None:
        """Have the next turn begin at a job, or anew after the last."""
        is_over = at >= len(self.jobs)
        self.turn = None if is_over else self.jobs[at].get_place()

    def _find(self, place: _Place) -> int:
        return bisect_left(self.jobs, place, key=WaitingJob.get_place)
