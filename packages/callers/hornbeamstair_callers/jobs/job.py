"""Accepted job with the state of its tasks."""

from typing import Final

from attrs import define, evolve, field

from hornbeamstair_callers.jobs.crashes import CrashHistory
from hornbeamstair_callers.jobs.messages import (
    JobSpec,
    JobState,
    PhaseKey,
    parse_task_id,
)
from hornbeamstair_callers.jobs.records import RunStarted
from hornbeamstair_core.ids import (
    QueueName,
    ServiceName,
    TaskId,
    WorkerId,
    WorkspaceName,
)
from hornbeamstair_upstreams.work.isolation import Isolation, get_isolation

__all__ = ('NO_WORKER', 'Job', 'Task')

NO_WORKER: Final = WorkerId('')


@define(eq=False)
class Task:
    """Task of a job with its last run and its progress."""

    run: int = 0
    # Worker of the active run; empty if there is none.
    worker: WorkerId = NO_WORKER
    incarnation: int = 0
    # Wall-clock time of the start of the last run, in seconds.
    started_at: float = 0
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ''

    def may_start(self, run: int) -> bool:
        """Return whether a run would be the only active one of the task."""
        return not self.worker and not self.is_done and run > self.run


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
    # Failed runs of each gang. Members that fail in one run are one attempt.
    gang_failures: dict[str, list[int]] = field(factory=dict)
    # Number of tasks done, by occurrence and phase.
    done: dict[str, int] = field(factory=dict)
    crash_history: CrashHistory = field(factory=CrashHistory)
    ended_at: float = 0
    # Workspace of its caller; empty for a job of an open queue.
    workspace: WorkspaceName = WorkspaceName('')
    # First runs that are done and their total seconds, by occurrence and phase.
    run_totals: dict[str, tuple[int, float]] = field(factory=dict)

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

    def get_isolation(self, task: TaskId, wall: float) -> Isolation:
        """Get the isolation in which a task has to start.

        The members of a gang start together, and cannot be isolated.
        """
        crashes = self.crash_history.count_suspect(task, wall)
        if crashes and self.spec.phases[parse_task_id(task).key.phase].is_gang:
            return Isolation.none
        return get_isolation(crashes)

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

    def add_run_seconds(self, key: PhaseKey, task: Task, ended: float) -> None:
        """Add the duration of a first run; a later one may resume another."""
        if task.run != 1 or not 0 < task.started_at < ended:
            return
        name = f'{key.occurrence}.{key.phase}'
        count, seconds = self.run_totals.get(name, (0, 0))
        self.run_totals[name] = (
            count + 1,
            seconds + ended - task.started_at,
        )

    def trim(self) -> None:
        """Drop the text and the tasks without an active run of an ended job."""
        if self.is_open:
            return
        self.spec = evolve(self.spec, text='')
        self.crash_history = CrashHistory()
        self.gang_failures = {}
        self.tasks = {
            task_id: task for task_id, task in self.tasks.items() if task.worker
        }
