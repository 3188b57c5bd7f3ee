"""Runs that a new leader takes over from the previous one."""

from collections.abc import Iterable, Iterator
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import parse_task_id
from hornbeamstair_callers.jobs.records import RunExpired
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.leases import WorkerLease
from hornbeamstair_upstreams.work.messages import RunEnd
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.sender import LATE_ORDER_SECONDS
from hornbeamstair_upstreams.work.start_orders import get_run_expiry

__all__ = ('InheritedRuns',)

# A run that started earlier has outlived its start under the previous leader,
# also if the change of leaders took some seconds.
_TAKEOVER_SECONDS: Final = 5.0
# A former leader may have repeated the order to start a run that is listed.
_UNKNOWN_ORDERS: Final = 2


@define(eq=False)
class InheritedRuns:
    """Recorded runs by worker, until the worker is known or they expire.

    The tables may hold a run on an unknown worker: the record of the worker
    was lost with a previous leader, or the worker was removed and came back.
    """

    # Covers all leases that a previous leader has granted.
    lease: WorkerLease
    runs_by_worker: dict[WorkerId, list[Run]] = field(factory=dict)

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
        if not self.runs_by_worker or now.monotonic < self.lease.latest_expiry:
            return ()
        remaining: dict[WorkerId, list[Run]] = {}
        expired: list[RunExpired] = []
        for worker, runs in self.runs_by_worker.items():
            for run in runs:
                if now.monotonic < get_run_expiry(run, self.lease):
                    remaining.setdefault(worker, []).append(run)
                else:
                    expired.append(_make_record(run, now))
        self.runs_by_worker = remaining
        return tuple(expired)


def _make_record(run: Run, now: Moment) -> RunExpired:
    return RunExpired(
        run.task, run.run, RunEnd.expired, '', now.wall, run.is_proven
    )


def _find_runs(job: Job, now: Moment) -> Iterator[tuple[WorkerId, Run]]:
    for task_id, task in job.tasks.items():
        if not task.worker:
            continue
        key = parse_task_id(task_id).key
        age = now.wall - task.started_at
        run = Run(
            task_id,
            task.run,
            job.spec.phases[key.phase].needs,
            key.phase_id,
            RunState.inherited,
            now.monotonic,
            task.checkpoint,
            ordered_at=now.monotonic - age,
            open_orders=_UNKNOWN_ORDERS if age < LATE_ORDER_SECONDS else 0,
            is_proven=age > _TAKEOVER_SECONDS,
            isolation=job.get_isolation(task_id, now.wall),
        )
        run.is_stop_requested = not job.is_open
        yield task.worker, run
