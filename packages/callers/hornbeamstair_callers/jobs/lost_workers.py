"""Index of the workers that were lost under open jobs."""

from collections.abc import Iterator

from attrs import define, field

from hornbeamstair_callers.jobs.crashes import Crash
from hornbeamstair_core.ids import JobId, WorkerId

__all__ = ('Incarnation', 'LostWorker', 'LostWorkers')

Incarnation = tuple[WorkerId, int]


@define(eq=False)
class LostWorker:
    """Incarnation of a worker that fell silent or went down under jobs."""

    # Host and port; empty if unknown.
    address: str
    is_confirmed: bool = False
    jobs: set[JobId] = field(factory=set)


@define(eq=False)
class LostWorkers:
    """Lost workers by incarnation; follows from the crashes of open jobs."""

    workers: dict[Incarnation, LostWorker] = field(factory=dict)

    def __contains__(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation was lost under an open job."""
        return incarnation in self.workers

    def add(self, job: JobId, crash: Crash) -> None:
        """Add a crash under a job."""
        lost = self.workers.setdefault(
            (crash.worker, crash.incarnation),
            LostWorker(crash.address),
        )
        lost.is_confirmed = lost.is_confirmed or crash.is_confirmed
        lost.jobs.add(job)

    def discard(self, job: JobId, crash: Crash) -> None:
        """Remove a crash under a job that has ended."""
        incarnation = (crash.worker, crash.incarnation)
        lost = self.workers.get(incarnation)
        if lost is not None:
            lost.jobs.discard(job)
            if not lost.jobs:
                self.workers.pop(incarnation)

    def confirm(self, incarnation: Incarnation) -> set[JobId]:
        """Mark an incarnation as gone down; return the jobs that it hit."""
        lost = self.workers.get(incarnation)
        if lost is None:
            return set()
        lost.is_confirmed = True
        return lost.jobs

    def remove(self, incarnation: Incarnation) -> set[JobId]:
        """Remove an incarnation that is up; return the jobs that it hit."""
        lost = self.workers.pop(incarnation, None)
        return set() if lost is None else lost.jobs

    def get_silent(self) -> Iterator[tuple[Incarnation, str]]:
        """Get the incarnations of silent workers with their addresses."""
        for incarnation, lost in self.workers.items():
            if not lost.is_confirmed:
                yield incarnation, lost.address

    def is_silent(self, incarnation: Incarnation) -> bool:
        """Return whether it is unknown what became of a lost incarnation."""
        lost = self.workers.get(incarnation)
        return lost is not None and not lost.is_confirmed

    def get_hit_jobs(self) -> set[JobId]:
        """Get the jobs under which workers are known to have gone down."""
        return {
            job
            for lost in self.workers.values()
            if lost.is_confirmed
            for job in lost.jobs
        }
