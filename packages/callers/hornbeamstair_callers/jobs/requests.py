"""Requests of callers about jobs."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_callers.jobs.messages import JobSpec, JobState
from hornbeamstair_core.ids import JobId
from hornbeamstair_core.requests import Reply, Request

__all__ = (
    'CancelJob',
    'CountPending',
    'JobReply',
    'PendingReply',
    'QueueAddress',
    'ShowJob',
    'SubmitJob',
)


@frozen
class QueueAddress:
    """Host and path by which a caller addresses a queue, and its key."""

    host: str
    path: str
    # Digest of the caller's key; empty if the call carries none.
    key_digest: str = ''


@frozen
class SubmitJob(Request):
    """Accept a job; a job that is already known is not changed."""

    kind: ClassVar[str] = 'submit_job'
    # The queue may have been removed since an earlier attempt.
    is_refusal_final: ClassVar[bool] = False

    place: QueueAddress
    spec: JobSpec
    # Time in seconds for which the caller waits for the answer.
    wait_seconds: float

    def get_subject(self) -> str:
        """Get the job."""
        return self.spec.job


@frozen
class ShowJob(Request):
    """Show the state of a job."""

    kind: ClassVar[str] = 'show_job'
    is_read: ClassVar[bool] = True

    place: QueueAddress
    job: JobId

    def get_subject(self) -> str:
        """Get the job."""
        return self.job


@frozen
class CancelJob(Request):
    """Cancel a job."""

    kind: ClassVar[str] = 'cancel_job'

    place: QueueAddress
    job: JobId

    def get_subject(self) -> str:
        """Get the job."""
        return self.job


@frozen
class CountPending(Request):
    """Count the jobs of a queue without a started task."""

    kind: ClassVar[str] = 'count_pending'
    is_read: ClassVar[bool] = True

    place: QueueAddress

    def get_subject(self) -> str:
        """Get the path of the queue."""
        return self.place.path


@frozen
class JobReply(Reply):
    """State of a job."""

    kind: ClassVar[str] = 'job'

    job: JobId
    state: JobState


@frozen
class PendingReply(Reply):
    """Number of jobs of a queue without a started task."""

    kind: ClassVar[str] = 'pending'

    count: int
