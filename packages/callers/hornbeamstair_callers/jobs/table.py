"""Replicated table of jobs and of the runs of their tasks."""

from collections.abc import Iterator
from typing import Any, ClassVar, Final

from attrs import define, field, frozen

from hornbeamstair_callers.jobs.crashes import Crash
from hornbeamstair_callers.jobs.early_cancellations import (
    EarlyCancellation,
    EarlyCancellations,
    UnknownJobCancelled,
)
from hornbeamstair_callers.jobs.job import NO_WORKER, Job, Task
from hornbeamstair_callers.jobs.lost_workers import LostWorkers
from hornbeamstair_callers.jobs.messages import (
    JobState,
    TaskPosition,
    get_job_id,
    make_task_id,
    parse_task_id,
)
from hornbeamstair_callers.jobs.records import (
    JobAccepted,
    JobCancelled,
    JobFailed,
    JobsForgotten,
    RecordListener,
    RunEnded,
    RunExpired,
    RunStarted,
)
from hornbeamstair_callers.jobs.worker_records import (
    WorkerDied,
    WorkerSurvived,
)
from hornbeamstair_callers.workspaces.usage import ActiveRun, WorkspaceUsage
from hornbeamstair_core.ids import JobId, TaskId
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('JobTable', 'JobTableState')

_CRASH_ENDS: Final = frozenset((RunEnd.crashed, RunEnd.expired))


@frozen
class JobTableState:
    """Jobs as stored in a snapshot."""

    jobs: tuple[Job, ...]
    early_cancellations: tuple[EarlyCancellation, ...] = ()


@define(eq=False)
class JobTable(RecordTable):
    """Jobs by their identifier."""

    name: ClassVar[str] = 'jobs'
    records: ClassVar[tuple[type[Record], ...]] = (
        JobAccepted,
        JobCancelled,
        JobFailed,
        JobsForgotten,
        RunEnded,
        RunExpired,
        RunStarted,
        UnknownJobCancelled,
        WorkerDied,
        WorkerSurvived,
    )
    state_class: ClassVar[type[Any]] = JobTableState

    jobs: dict[JobId, Job] = field(factory=dict)
    early_cancellations: EarlyCancellations = field(factory=EarlyCancellations)
    lost_workers: LostWorkers = field(factory=LostWorkers)
    # Follows from the active runs of the tasks.
    usage: WorkspaceUsage = field(factory=WorkspaceUsage)
    record_listener: RecordListener | None = None

    def apply(self, record: Record) -> object:
        """Apply a record; return whether it changed anything."""
        changed = self._apply(record)
        if self.record_listener is not None:
            self.record_listener.on_applied(record)
        return changed

    def get_open(self) -> Iterator[Job]:
        """Get the jobs that have not ended."""
        return (job for job in self.jobs.values() if job.is_open)

    def find_text(self, task: TaskId) -> str | None:
        """Find the text of the job of a task; None unless the job is open."""
        job = self.jobs.get(get_job_id(task))
        return job.spec.text if job is not None and job.is_open else None

    def get_state(self) -> JobTableState:
        """Get the state for a snapshot."""
        return JobTableState(
            tuple(self.jobs.values()), self.early_cancellations.get_all()
        )

    def restore_state(self, state: Any) -> None:
        """Replace the jobs by those of a snapshot."""
        jobs = () if state is None else state.jobs
        self.early_cancellations.restore(
            () if state is None else state.early_cancellations
        )
        for job in jobs:
            job.trim()
        self.jobs = {job.spec.job: job for job in jobs}
        self.lost_workers = LostWorkers()
        self.usage.clear()
        for restored_job in jobs:
            self._restore_usage(restored_job)
            for task, crash in restored_job.crash_history.get_all():
                self.lost_workers.add(task, crash)

    def _apply(self, record: Record) -> bool:
        match record:
            case JobAccepted():
                return self._accept(record)
            case JobCancelled():
                return self._cancel(record)
            case JobFailed(job, at):
                return self._end_job(job, JobState.failed, at)
            case JobsForgotten(jobs):
                return self._forget_jobs(jobs)
            case RunStarted():
                return self._start_run(record)
            case RunEnded():
                return self._end_run(record)
            case WorkerDied() | WorkerSurvived():
                return self._explain_silence(record)
        return False

    def _accept(self, record: JobAccepted) -> bool:
        job = record.spec.job
        if job in self.jobs:
            return False
        self.jobs[job] = Job(
            record.spec,
            record.queue,
            record.service,
            record.accepted_at,
            workspace=record.workspace,
        )
        is_cancelled = self.early_cancellations.covers(
            job, record.workspace, record.accepted_at
        )
        if is_cancelled:
            self._end_job(job, JobState.cancelled, record.accepted_at)
        return True

    def _cancel(self, record: JobCancelled) -> bool:
        if isinstance(record, UnknownJobCancelled):
            job = self.jobs.get(record.job)
            if job is None:
                self.early_cancellations.add(
                    EarlyCancellation(record.job, record.workspace, record.at)
                )
                return True
            # The job was accepted in the meantime.
            is_foreign = job.workspace != record.workspace
            if is_foreign and job.workspace and record.workspace:
                return False
        return self._end_job(record.job, JobState.cancelled, record.at)

    def _end_job(self, job_id: JobId, state: JobState, at: float) -> bool:
        job = self.jobs.get(job_id)
        if job is None or not job.is_open:
            return False
        job.state = state
        job.ended_at = at
        self._trim(job)
        return True

    def _forget_jobs(self, jobs: tuple[JobId, ...]) -> bool:
        for job_id in jobs:
            job = self.jobs.pop(job_id, None)
            for task in () if job is None else job.tasks:
                self.usage.remove(task)
        return True

    def _start_run(self, record: RunStarted) -> bool:
        position = parse_task_id(record.task)
        job = self.jobs.get(position.key.job)
        if job is None or not job.is_open:
            return False
        task = job.tasks.setdefault(record.task, Task())
        if not task.may_start(record.run):
            # The scheduler checks this invariant before it proposes the record.
            # An assertion here would fail again at each restart.
            return False
        task.run = record.run
        task.worker = record.worker
        task.incarnation = record.incarnation
        task.started_at = record.at
        job.state = JobState.running
        self._add_usage(job, record.task, position)
        return True

    def _end_run(self, record: RunEnded) -> bool:
        position = parse_task_id(record.task)
        job = self.jobs.get(position.key.job)
        task = None if job is None else job.tasks.get(record.task)
        if job is None or task is None or task.run != record.run:
            return False
        if not task.worker:
            return False
        if record.end in _CRASH_ENDS and job.is_open:
            self._add_crash(job, task, record)
        task.worker = NO_WORKER
        self.usage.remove(record.task)
        task.checkpoint = record.checkpoint or task.checkpoint
        if record.end == RunEnd.failed:
            task.failures += 1
            if job.spec.phases[position.key.phase].is_gang:
                phase_id = position.key.phase_id
                job.gang_failures.setdefault(phase_id, []).append(record.run)
        if record.end == RunEnd.done:
            self._complete_task(job, position, task, record.at)
        self._trim(job)
        return True

    def _add_usage(
        self,
        job: Job,
        task: TaskId,
        position: TaskPosition,
    ) -> None:
        needs = job.spec.phases[position.key.phase].needs
        self.usage.add(task, ActiveRun(job.workspace, job.service, needs))

    def _restore_usage(self, job: Job) -> None:
        for task_id, task in job.tasks.items():
            if task.worker:
                self._add_usage(job, task_id, parse_task_id(task_id))

    def _add_crash(self, job: Job, task: Task, record: RunEnded) -> None:
        address = ''
        incarnation = task.incarnation
        if isinstance(record, RunExpired):
            address = record.address
            incarnation = record.incarnation or incarnation
        crash = Crash(
            task.worker,
            incarnation,
            record.at,
            not record.is_proven,
            address,
            is_confirmed=record.end == RunEnd.crashed,
        )
        for old in job.crash_history.add(record.task, crash):
            self.lost_workers.discard(record.task, old)
        for recent in job.crash_history.crashes[record.task]:
            self.lost_workers.add(record.task, recent)

    def _trim(self, job: Job) -> None:
        if not job.is_open:
            for task, crash in job.crash_history.get_all():
                self.lost_workers.discard(task, crash)
        job.trim()

    def _explain_silence(self, record: WorkerDied | WorkerSurvived) -> bool:
        incarnation = (record.worker, record.incarnation)
        match record:
            case WorkerDied():
                hit = self.lost_workers.confirm(incarnation)
                for hit_task in hit:
                    history = self.jobs[get_job_id(hit_task)].crash_history
                    history.confirm_worker(hit_task, incarnation)
            case WorkerSurvived():
                hit = self.lost_workers.remove(incarnation)
                for task in hit:
                    history = self.jobs[get_job_id(task)].crash_history
                    history.remove_worker(task, incarnation)
        return bool(hit)

    def _complete_task(
        self,
        job: Job,
        position: TaskPosition,
        task: Task,
        at: float,
    ) -> None:
        key = position.key
        phase = job.spec.phases[key.phase]
        if phase.needs.lasts or not job.is_open:
            # A long-running task is restarted, however its run ended.
            return
        job.mark_done(key, task)
        job.add_run_seconds(key, task, at)
        if phase.is_gang:
            # The members of a gang end together: one end counts for all.
            for index in range(phase.count):
                member = job.tasks.setdefault(make_task_id(key, index), Task())
                job.mark_done(key, member)
        if job.is_done():
            job.state = JobState.completed
            job.ended_at = at
