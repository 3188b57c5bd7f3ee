"""Records that change jobs, and the listener for applied records."""

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
    WorkspaceName,
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
    'RunExpired',
    'RunStarted',
)


@frozen
class JobAccepted(Record):
    """Job that was accepted and will be run."""

    kind: ClassVar[str] = 'job_accepted'

    spec: JobSpec
    queue: QueueName
    service: ServiceName
    # Wall-clock seconds.
    accepted_at: float
    # Workspace of the caller; empty for a call to an open queue.
    workspace: WorkspaceName = WorkspaceName('')


@frozen
class JobCancelled(Record):
    """Job that its caller cancelled."""

    kind: ClassVar[str] = 'job_cancelled'

    job: JobId
    at: float


@frozen
class JobFailed(Record):
    """Job that failed because a task used up its attempts."""

    kind: ClassVar[str] = 'job_failed'

    job: JobId
    at: float


@frozen
class JobsForgotten(Record):
    """Ended jobs whose retention time is over."""

    kind: ClassVar[str] = 'jobs_forgotten'

    jobs: tuple[JobId, ...]


@frozen
class RunStarted(Record):
    """Run whose start order is sent after the commit."""

    kind: ClassVar[str] = 'run_started'

    task: TaskId
    run: int
    worker: WorkerId
    incarnation: int
    # Wall-clock seconds.
    at: float = 0


@frozen
class RunEnded(Record):
    """End of a run."""

    kind: ClassVar[str] = 'run_ended'

    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str
    at: float
    # The worker was known to go on well after the start of the run.
    is_proven: bool = False


@frozen
class RunExpired(RunEnded):
    """End of a run on a silent worker."""

    kind: ClassVar[str] = 'run_expired'

    # Host and port of the worker; empty if unknown.
    address: str = ''
    # Incarnation whose lease has expired; 0 for the one that was to start it.
    incarnation: int = 0


class RecordListener(ABC):
    """Listener for applied records, whichever process proposed them."""

    @abstractmethod
    def on_applied(self, record: Record) -> None:
        """Handle a record that a table has just applied."""
