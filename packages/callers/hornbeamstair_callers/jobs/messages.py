"""Job descriptions, job states and task identifiers."""

from enum import Enum

from attrs import frozen

from hornbeamstair_core.ids import JobId, TaskId
from hornbeamstair_upstreams.work.messages import TaskNeeds

__all__ = (
    'JobSpec',
    'JobState',
    'Phase',
    'PhaseKey',
    'TaskPosition',
    'get_job_id',
    'make_task_id',
    'parse_task_id',
)


class JobState(Enum):
    """State of a job as shown to callers."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


@frozen
class Phase:
    """Identical tasks of a job that may run in parallel."""

    count: int
    needs: TaskNeeds
    # Indexes of the phases that must be done first.
    after: tuple[int, ...] = ()
    # The tasks work only together: they start and end as a whole.
    is_gang: bool = False
    # Copies of a task may run in parallel.
    may_copy: bool = False


@frozen
class JobSpec:
    """Job as submitted by its caller."""

    job: JobId
    # Job document that is passed to the workers as is.
    text: str
    phases: tuple[Phase, ...]
    # Number of occurrences; 0 for a job that runs once, immediately.
    repeat_count: int = 0
    # Wall-clock seconds at which the first occurrence is due.
    first_due: float = 0
    interval_seconds: float = 0

    @property
    def occurrences(self) -> int:
        """Number of times that the phases run."""
        return max(self.repeat_count, 1)

    @property
    def lasts(self) -> bool:
        """Return whether the job runs until it is cancelled."""
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
    def phase_id(self) -> str:
        """Identifier of the phase; a prefix of its task identifiers."""
        return f'{self.job}.{self.occurrence}.{self.phase}'


@frozen
class TaskPosition:
    """Position of a task in its job."""

    key: PhaseKey
    index: int


def make_task_id(key: PhaseKey, index: int) -> TaskId:
    """Create the identifier of a task."""
    return TaskId(f'{key.phase_id}.{index}')


def get_job_id(task: TaskId) -> JobId:
    """Get the identifier of the job of a task."""
    return JobId(task.partition('.')[0])


def parse_task_id(task: TaskId) -> TaskPosition:
    """Parse a task identifier; raise ValueError if it is malformed."""
    job, occurrence, phase, index = task.split('.')
    key = PhaseKey(JobId(job), int(occurrence), int(phase))
    return TaskPosition(key, int(index))
