"""Runs that a new leader takes over from the previous one."""

from collections.abc import Iterable, Iterator
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import parse_task_id
from hornbeamstair_callers.jobs.records import RunExpired
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.messages import RunEnd
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.sender import LATE_ORDER_SECONDS

__all__ = ('InheritedRuns',)

# A run that started earlier has outlived its start under the previous leader,
# also if the change of leaders took some seconds.
_TAKEOVER_SECONDS: Final = 5.0


@define(eq=False)
class InheritedRuns:
    """Recorded runs by worker, until the worker is known or they expire.

    The tables may hold a run on an unknown worker: the record of the worker
    was lost with a previous leader, or the worker was removed and came back.
    """

    # Time at which this leader took over.
    taken_at: float = 0
    # Longest time for which a lease of the previous leader is valid.
    longest_lease: float = 0
    runs_by_worker: dict[WorkerId, list[Run]] = field(factory=dict)

    @property
    def latest_expiry(self) -> float:
        """Time by which every lease of a previous leader has expired."""
        return self.taken_at + self.longest_lease

    def has_late_orders(self, now: Moment) -> bool:
        """Return whether orders of a previous leader may be on their way."""
        return now.monotonic < self.taken_at + LATE_ORDER_SECONDS

    def add_jobs(self, jobs: Iterable[Job], now: Moment) -> None:
        """Add the active runs of jobs."""
        for job in jobs:
            for worker, run in _find_runs(job, now):
                self.runs_by_worker.setdefault(worker, []).append(run)

    def pop_runs(self, worker: WorkerId) -> list[Run]:
        """Return and remove the runs of a worker that is known now."""
        return self.runs_by_worker.pop(worker, [])

    def expire(self, now: Moment) -> tuple[RunExpired, ...]:
        """Remove the runs whose leases have certainly expired, and end them."""
        if now.monotonic < self.latest_expiry:
            return ()
        expired = tuple(
            RunExpired(
                run.task,
                run.run,
                RunEnd.expired,
                '',
                now.wall,
                run.is_proven,
            )
            for runs in self.runs_by_worker.values()
            for run in runs
        )
        self.runs_by_worker.clear()
        return expired


def _find_runs(job: Job, now: Moment) -> Iterator[tuple[WorkerId, Run]]:
    for task_id, task in job.tasks.items():
        if not task.worker:
            continue
        key = parse_task_id(task_id).key
        run = Run(
            task_id,
            task.run,
            job.spec.phases[key.phase].needs,
            key.phase_id,
            RunState.inherited,
            now.monotonic,
            task.checkpoint,
            is_proven=now.wall - task.started_at > _TAKEOVER_SECONDS,
            isolation=job.get_isolation(task_id, now.wall),
        )
        run.is_stop_requested = not job.is_open
        yield task.worker, run
