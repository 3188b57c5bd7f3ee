"""Waiting jobs of one service in placement order."""

from bisect import bisect_left, insort

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_core.ids import JobId, ServiceName, WorkspaceName

__all__ = ('ServiceQueue', 'WaitingJob', 'WaitingQueue')

# Sort key and ID of a job; the ID makes the position unique.
_Position = tuple[tuple[float, ...], JobId]


@define(eq=False)
class WaitingJob:
    """Job with its sort key and its ready tasks."""

    key: tuple[float, ...]
    # Wall-clock time until which the sort key is valid.
    key_valid_until: float
    service: ServiceName | None
    job: Job
    phases: list[ReadyPhase]

    def get_position(self) -> _Position:
        """Get the position of the job in the queue."""
        return self.key, self.job.spec.job


@define(eq=False)
class WaitingQueue:
    """Sorted jobs, and where the rotating scan of later jobs resumes."""

    jobs: list[WaitingJob] = field(factory=list)
    # Position at which the next rotating scan begins; None for the start.
    resume_position: _Position | None = None

    def add(self, waiting: WaitingJob) -> None:
        """Insert a job at its position."""
        insort(self.jobs, waiting, key=WaitingJob.get_position)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job."""
        self.jobs.pop(self._find_index(waiting.get_position()))

    def get_resume_index(self) -> int:
        """Get the index at which the rotating scan resumes."""
        return (
            0
            if self.resume_position is None
            else self._find_index(self.resume_position)
        )

    def set_resume_index(self, at: int) -> None:
        """Set the index of the next scan; past the end it starts over."""
        is_past_end = at >= len(self.jobs)
        self.resume_position = (
            None if is_past_end else self.jobs[at].get_position()
        )

    def _find_index(self, position: _Position) -> int:
        return bisect_left(self.jobs, position, key=WaitingJob.get_position)


@define(eq=False)
class ServiceQueue:
    """Waiting jobs of one service, in the order of each workspace."""

    by_workspace: dict[WorkspaceName, WaitingQueue] = field(factory=dict)

    def add(self, waiting: WaitingJob) -> None:
        """Insert a job into the queue of its workspace."""
        queue = self.by_workspace.setdefault(
            waiting.job.workspace, WaitingQueue()
        )
        queue.add(waiting)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job."""
        self.by_workspace[waiting.job.workspace].remove(waiting)

    def get_jobs(self) -> list[WaitingJob]:
        """Get the jobs; those of a workspace are in placement order."""
        return [
            waiting
            for queue in self.by_workspace.values()
            for waiting in queue.jobs
        ]

    def has_jobs_of(self, workspace: WorkspaceName) -> bool:
        """Return whether jobs of a workspace wait."""
        queue = self.by_workspace.get(workspace)
        return queue is not None and bool(queue.jobs)
