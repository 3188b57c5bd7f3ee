"""Records by which jobs change, and what learns of them."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import frozen

from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_core.ids import (
    JobId,
    QueueName,
    ServiceName,
    TaskId,
    WorkerId,
)
from hornbeamstair_core.records import Record
from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = (
    'JobAccepted',
    'JobCancelled',
    'JobFailed',
    'JobsForgotten',
    'RecordListener',
    'RunEnded',
    'RunStarted',
)


@frozen
class JobAccepted(Record):
    """Job that its caller may rely on."""

    kind: ClassVar[str] = 'job_accepted'

    spec: JobSpec
    queue: QueueName
    service: ServiceName
    # Wall-clock seconds.
    accepted_at: float


@frozen
class JobCancelled(Record):
    """Job that its caller cancelled."""

    kind: ClassVar[str] = 'job_cancelled'

    job: JobId
    at: float


@frozen
class JobFailed(Record):
    """Job of which a task has used up its attempts."""

    kind: ClassVar[str] = 'job_failed'

    job: JobId
    at: float


@frozen
class JobsForgotten(Record):
    """Jobs that ended so long ago that nobody may ask for them."""

    kind: ClassVar[str] = 'jobs_forgotten'

    jobs: tuple[JobId, ...]


@frozen
class RunStarted(Record):
    """Run that a worker is about to be told to start."""

    kind: ClassVar[str] = 'run_started'

    task: TaskId
    run: int
    worker: WorkerId
    incarnation: int


@frozen
class RunEnded(Record):
    """End of a run that counts."""

    kind: ClassVar[str] = 'run_ended'

    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str
    at: float


class RecordListener(ABC):
    """Part that learns of each applied record, whoever proposed it."""

    @abstractmethod
    def note_applied(self, record: Record) -> None:
        """Take a record that a table has just applied."""
