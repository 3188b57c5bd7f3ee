"""Runs that a new holder takes over from the earlier one."""

from collections.abc import Iterable, Iterator

from attrs import define, field

from hornbeamstair_callers.jobs.messages import parse_task_id
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.runs import Run, RunState

__all__ = ('InheritedRuns',)


@define(eq=False)
class InheritedRuns:
    """Recorded runs by worker, until their worker is known or they lapse.

    The log may hold a run on a worker that it does not know: the record of
    the worker was lost with an earlier leader, or the worker was forgotten
    and came back.
    """

    # Time by which every lease of an earlier holder has surely lapsed.
    lapse_at: float
    by_worker: dict[WorkerId, list[Run]] = field(factory=dict)

    def note_jobs(self, jobs: Iterable[Job], now: float) -> None:
        """Note the runs of jobs that have not ended."""
        for job in jobs:
            for worker, run in _find_runs(job, now):
                self.by_worker.setdefault(worker, []).append(run)

    def take(self, worker: WorkerId) -> list[Run]:
        """Take the runs of a worker that is known now."""
        return self.by_worker.pop(worker, [])

    def expire(self, now: float) -> list[Run]:
        """Take the runs of unknown workers once they have surely lapsed."""
        if now < self.lapse_at:
            return []
        lapsed = [run for runs in self.by_worker.values() for run in runs]
        self.by_worker.clear()
        return lapsed


def _find_runs(job: Job, now: float) -> Iterator[tuple[WorkerId, Run]]:
    for task_id, task in job.tasks.items():
        if not task.worker:
            continue
        key = parse_task_id(task_id).key
        run = Run(
            task_id,
            task.run,
            job.spec.phases[key.phase].needs,
            key.group,
            RunState.inherited,
            now,
            task.checkpoint,
        )
        run.is_stop_wanted = not job.is_open
        yield task.worker, run
