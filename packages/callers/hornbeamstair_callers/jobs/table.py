"""Replicated table of jobs and of the runs of their tasks."""

from collections.abc import Iterator
from typing import Any, ClassVar

from attrs import define, evolve, field, frozen

from hornbeamstair_callers.jobs.messages import (
    JobSpec,
    JobState,
    PhaseKey,
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
    RunStarted,
)
from hornbeamstair_core.ids import (
    JobId,
    QueueName,
    ServiceName,
    TaskId,
    WorkerId,
)
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_core.units import MINUTE
from hornbeamstair_upstreams.work.isolation import Isolation, get_isolation
from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('Crashes', 'Job', 'JobTable', 'JobTableState', 'Task')

_NO_WORKER = WorkerId('')
# A task that crashes its workers is started again within minutes. Host
# failures right after a start of a task that runs for weeks are unrelated.
_CRASH_MEMORY_SECONDS = 10 * MINUTE


@define(eq=False)
class Task:
    """Task of a job with its last run and its progress."""

    run: int = 0
    # Worker of the active run; empty if there is none.
    worker: WorkerId = _NO_WORKER
    incarnation: int = 0
    # Wall-clock time of the start of the last run, in seconds.
    started_at: float = 0
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ''

    def may_start(self, run: int) -> bool:
        """Return whether a run would be the only active one of the task."""
        return not self.worker and not self.is_done and run > self.run


@frozen
class Crashes:
    """Workers that went down right after the start of a task."""

    count: int = 0
    # Wall-clock time of the last one, in seconds.
    latest: float = 0


@define(eq=False)
class Job:
    """Accepted job with the state of its tasks."""

    spec: JobSpec
    queue: QueueName
    service: ServiceName
    accepted_at: float
    state: JobState = JobState.queued
    # Tasks that were started at least once; of an ended job only those with
    # an active run.
    tasks: dict[TaskId, Task] = field(factory=dict)
    # Number of tasks done, by occurrence and phase.
    done: dict[str, int] = field(factory=dict)
    # Crashes by task, for tasks that have any.
    crashes: dict[TaskId, Crashes] = field(factory=dict)
    ended_at: float = 0

    @property
    def is_open(self) -> bool:
        """Return whether tasks of the job may still start."""
        # Called for each event; a set lookup would hash the state each time.
        return self.state is JobState.queued or self.state is JobState.running

    def get_task(self, task: TaskId) -> Task:
        """Get a task, or an empty one if it never started."""
        return self.tasks.get(task) or Task()

    def is_current_run(self, started: RunStarted) -> bool:
        """Return whether a recorded run is the current one of its task."""
        task = self.get_task(started.task)
        return (task.run, task.worker, task.incarnation) == (
            started.run,
            started.worker,
            started.incarnation,
        )

    def count_crashes(self, task: TaskId, wall: float) -> int:
        """Count the recent crashes under a task at a wall-clock time."""
        crashes = self.crashes.get(task)
        if crashes is None or wall - crashes.latest > _CRASH_MEMORY_SECONDS:
            return 0
        return crashes.count

    def get_isolation(self, task: TaskId, wall: float) -> Isolation:
        """Get the isolation in which a task has to start.

        The members of a gang start together, and cannot be isolated.
        """
        crashes = self.count_crashes(task, wall)
        if crashes and self.spec.phases[parse_task_id(task).key.phase].is_gang:
            return Isolation.none
        return get_isolation(crashes)

    def add_crash(self, task: TaskId, wall: float) -> None:
        """Add a crash under a task."""
        count = self.count_crashes(task, wall) + 1
        self.crashes[task] = Crashes(count, wall)

    def count_done(self, occurrence: int, phase: int) -> int:
        """Count the tasks of a phase that are done."""
        return self.done.get(f'{occurrence}.{phase}', 0)

    def is_phase_done(self, occurrence: int, phase: int) -> bool:
        """Return whether all tasks of a phase are done."""
        required = self.spec.phases[phase].count
        return self.count_done(occurrence, phase) >= required

    def is_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        required = sum(phase.count for phase in self.spec.phases)
        return sum(self.done.values()) >= required * self.spec.occurrences

    def mark_done(self, key: PhaseKey, task: Task) -> None:
        """Mark a task as done."""
        if task.is_done:
            return
        task.is_done = True
        name = f'{key.occurrence}.{key.phase}'
        self.done[name] = self.done.get(name, 0) + 1

    def trim(self) -> None:
        """Drop the text and the tasks without an active run of an ended job."""
        if self.is_open:
            return
        self.spec = evolve(self.spec, text='')
        self.crashes = {}
        self.tasks = {
            task_id: task for task_id, task in self.tasks.items() if task.worker
        }


@frozen
class JobTableState:
    """Jobs as stored in a snapshot."""

    jobs: tuple[Job, ...]


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
        RunStarted,
    )
    state_class: ClassVar[type[Any]] = JobTableState

    jobs: dict[JobId, Job] = field(factory=dict)
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
        return JobTableState(tuple(self.jobs.values()))

    def restore_state(self, state: Any) -> None:
        """Replace the jobs by those of a snapshot."""
        jobs = () if state is None else state.jobs
        for job in jobs:
            job.trim()
        self.jobs = {job.spec.job: job for job in jobs}

    def _apply(self, record: Record) -> bool:
        match record:
            case JobAccepted():
                return self._accept(record)
            case JobCancelled(job, at):
                return self._end_job(job, JobState.cancelled, at)
            case JobFailed(job, at):
                return self._end_job(job, JobState.failed, at)
            case JobsForgotten(jobs):
                return self._forget_jobs(jobs)
            case RunStarted():
                return self._start_run(record)
            case RunEnded():
                return self._end_run(record)
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
        )
        return True

    def _end_job(self, job_id: JobId, state: JobState, at: float) -> bool:
        job = self.jobs.get(job_id)
        if job is None or not job.is_open:
            return False
        job.state = state
        job.ended_at = at
        job.trim()
        return True

    def _forget_jobs(self, jobs: tuple[JobId, ...]) -> bool:
        for job in jobs:
            self.jobs.pop(job, None)
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
        return True

    def _end_run(self, record: RunEnded) -> bool:
        position = parse_task_id(record.task)
        job = self.jobs.get(position.key.job)
        task = None if job is None else job.tasks.get(record.task)
        if job is None or task is None or task.run != record.run:
            return False
        if not task.worker:
            return False
        task.worker = _NO_WORKER
        task.checkpoint = record.checkpoint or task.checkpoint
        if record.end == RunEnd.failed:
            task.failures += 1
        if record.end == RunEnd.crashed:
            job.add_crash(record.task, record.at)
        if record.end == RunEnd.done:
            self._complete_task(job, position, task, record.at)
        job.trim()
        return True

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
        if phase.is_gang:
            # The members of a gang end together: one end counts for all.
            for index in range(phase.count):
                member = job.tasks.setdefault(make_task_id(key, index), Task())
                job.mark_done(key, member)
        if job.is_done():
            job.state = JobState.completed
            job.ended_at = at
