"""Runs of the tables that their workers have not confirmed."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

from attrs import define

from hornbeamstair_callers.jobs.inheritance import InheritedRuns
from hornbeamstair_callers.jobs.job import Job, Task
from hornbeamstair_callers.jobs.resting import RestingReason, RestingTask
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_core.ids import TaskId, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.start_orders import is_doubted

__all__ = ('RestingRuns',)

_NO_RUNS: Final[Mapping[TaskId, Run]] = MappingProxyType({})


@define(eq=False)
class RestingRuns:
    """Compares the runs of the tables with those that the leader expects."""

    jobs: JobTable
    waiting: WaitingJobs
    sessions: Mapping[WorkerId, WorkerSession]
    inherited: InheritedRuns

    def find(self, now: Moment) -> Iterator[RestingTask]:
        """Find the tasks of open jobs whose run is not confirmed."""
        # The usual case costs no call: there are thousands of runs.
        answering = {
            worker: session.runs
            for worker, session in self.sessions.items()
            if session.is_responsive(now.monotonic)
        }
        for job in self.jobs.get_open():
            for task_id, task in job.tasks.items():
                run = answering.get(task.worker, _NO_RUNS).get(task_id)
                if not task.worker or _is_confirmed(run, task):
                    continue
                yield from self._find_task(job, task_id, task, now)

    def _find_task(
        self,
        job: Job,
        task_id: TaskId,
        task: Task,
        now: Moment,
    ) -> Iterator[RestingTask]:
        reason = self._find_reason(task_id, task, now)
        if reason is not None:
            yield RestingTask(task_id, reason, task.worker, job.service)

    def _find_reason(
        self,
        task_id: TaskId,
        task: Task,
        now: Moment,
    ) -> RestingReason | None:
        if task_id in self.waiting.in_flight:
            return RestingReason.record
        session = self.sessions.get(task.worker)
        if session is None:
            return self._find_inherited_reason(task_id, task)
        run = session.runs.get(task_id)
        if run is None or run.run != task.run:
            return RestingReason.untracked
        if run.state is not RunState.running:
            return RestingReason(run.state.value)
        if is_doubted(run, session.polled_at):
            return RestingReason.doubted
        is_silent = not session.is_responsive(now.monotonic)
        return RestingReason.silent if is_silent else None

    def _find_inherited_reason(
        self,
        task_id: TaskId,
        task: Task,
    ) -> RestingReason:
        inherited = self.inherited.runs_by_worker.get(task.worker, ())
        if any(run.task == task_id for run in inherited):
            return RestingReason.unknown_worker
        return RestingReason.untracked


def _is_confirmed(run: Run | None, task: Task) -> bool:
    """Return whether a run is confirmed beyond doubt."""
    return (
        run is not None
        and run.state is RunState.running
        and run.run == task.run
        and run.doubted_at is None
    )
