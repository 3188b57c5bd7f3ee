"""Index of the workers that were lost under open jobs."""

from collections.abc import Iterator

from attrs import define, field

from hornbeamstair_callers.jobs.crashes import Crash, Incarnation
from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_core.ids import JobId, TaskId

__all__ = ('LostWorker', 'LostWorkers')


@define(eq=False)
class LostWorker:
    """Incarnation of a worker that fell silent or went down under tasks."""

    # Host and port; empty if unknown.
    address: str
    is_confirmed: bool = False
    tasks: set[TaskId] = field(factory=set)


@define(eq=False)
class LostWorkers:
    """Lost workers by incarnation; follows from the crashes of open jobs."""

    workers: dict[Incarnation, LostWorker] = field(factory=dict)

    def __contains__(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation was lost under an open job."""
        return incarnation in self.workers

    def add(self, task: TaskId, crash: Crash) -> None:
        """Add a crash under a task."""
        lost = self.workers.setdefault(
            crash.get_incarnation(),
            LostWorker(crash.address),
        )
        lost.is_confirmed = lost.is_confirmed or crash.is_confirmed
        lost.tasks.add(task)

    def discard(self, task: TaskId, crash: Crash) -> None:
        """Remove a crash under a task whose job has ended, or an old one."""
        lost = self.workers.get(crash.get_incarnation())
        if lost is not None:
            lost.tasks.discard(task)
            if not lost.tasks:
                self.workers.pop(crash.get_incarnation())

    def confirm(self, incarnation: Incarnation) -> set[TaskId]:
        """Mark an incarnation as gone down; return the tasks that it hit."""
        lost = self.workers.get(incarnation)
        if lost is None:
            return set()
        lost.is_confirmed = True
        return lost.tasks

    def remove(self, incarnation: Incarnation) -> set[TaskId]:
        """Remove an incarnation that is up; return the tasks that it hit."""
        lost = self.workers.pop(incarnation, None)
        return set() if lost is None else lost.tasks

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
            get_job_id(task)
            for lost in self.workers.values()
            if lost.is_confirmed
            for task in lost.tasks
        }
