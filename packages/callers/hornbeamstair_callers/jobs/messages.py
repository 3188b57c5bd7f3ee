"""Jobs, their phases and the state that callers see."""

from enum import Enum

from attrs import frozen

from hornbeamstair_core.ids import JobId, TaskId
from hornbeamstair_upstreams.work.messages import TaskNeeds

__all__ = (
    'JobSpec',
    'JobState',
    'Phase',
    'PhaseKey',
    'TaskPlace',
    'get_job',
    'make_task_id',
    'parse_task_id',
)


class JobState(Enum):
    """State of a job as callers see it."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


@frozen
class Phase:
    """Tasks of a job that are alike and may run side by side."""

    count: int
    needs: TaskNeeds
    # Numbers of the phases whose tasks must all be done before.
    after: tuple[int, ...] = ()
    # The tasks work only together and end together.
    is_gang: bool = False
    # Copies of a task may run in parallel.
    may_copy: bool = False


@frozen
class JobSpec:
    """Job as its caller described it."""

    job: JobId
    # Text for the workers.
    text: str
    phases: tuple[Phase, ...]
    # Times that the phases run; 0 for a job that runs once, at once.
    repeat_count: int = 0
    # Wall-clock seconds at which the first occurrence is due.
    first_due: float = 0
    interval_seconds: float = 0

    @property
    def occurrences(self) -> int:
        """Times that the phases run."""
        return max(self.repeat_count, 1)

    @property
    def lasts(self) -> bool:
        """Tell whether the job runs until it is cancelled."""
        return any(phase.needs.lasts for phase in self.phases)

    def get_due(self, occurrence: int) -> float:
        """Get the wall-clock time at which an occurrence is due."""
        if not self.repeat_count:
            return 0
        return self.first_due + occurrence * self.interval_seconds


@frozen
class PhaseKey:
    """Phase of one occurrence of a job."""

    job: JobId
    occurrence: int
    phase: int

    @property
    def group(self) -> str:
        """Name of the phase, which its tasks' names begin with."""
        return f'{self.job}.{self.occurrence}.{self.phase}'


@frozen
class TaskPlace:
    """Place of a task in its job."""

    key: PhaseKey
    index: int


def make_task_id(key: PhaseKey, index: int) -> TaskId:
    """Make the identifier of a task."""
    return TaskId(f'{key.group}.{index}')


def get_job(task: TaskId) -> JobId:
    """Get the job of a task."""
    return JobId(task.partition('.')[0])


def parse_task_id(task: TaskId) -> TaskPlace:
    """Parse the identifier of a task; ValueError if it is not one."""
    job, occurrence, phase, index = task.split('.')
    key = PhaseKey(JobId(job), int(occurrence), int(phase))
    return TaskPlace(key, int(index))
