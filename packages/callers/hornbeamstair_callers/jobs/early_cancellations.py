"""Cancellations of jobs that have not been accepted.

A call to submit a job may reach the leader after the call to cancel it: an
entry process was suspended with it, or it took another way.
"""

from collections.abc import Iterable
from typing import ClassVar, Final

from attrs import define, field, frozen

from hornbeamstair_callers.jobs.records import JobCancelled
from hornbeamstair_core.ids import JobId, WorkspaceName

__all__ = ('EarlyCancellation', 'EarlyCancellations', 'UnknownJobCancelled')

# As long as ended jobs are kept; processes are suspended for seconds.
_RETENTION_SECONDS: Final = 180.0
# Bounds the memory that callers of unknown jobs can take.
_MAX_CANCELLATIONS: Final = 10_000
# A cancellation that is repeated later is recorded again.
_REPEAT_SECONDS: Final = 10.0


@frozen
class UnknownJobCancelled(JobCancelled):
    """Job that its caller cancelled before it was accepted."""

    kind: ClassVar[str] = 'unknown_job_cancelled'

    # Workspace of the caller; empty for a call to an open queue.
    workspace: WorkspaceName = WorkspaceName('')


@frozen
class EarlyCancellation:
    """Cancellation of a job by a workspace."""

    job: JobId
    workspace: WorkspaceName
    # Wall-clock seconds.
    at: float


@define(eq=False)
class EarlyCancellations:
    """Recent cancellations of unknown jobs, oldest first."""

    recent: dict[tuple[JobId, WorkspaceName], EarlyCancellation] = field(
        factory=dict
    )

    def add(self, cancellation: EarlyCancellation) -> None:
        """Add a cancellation and remove those that are too old or too many."""
        key = cancellation.job, cancellation.workspace
        self.recent.pop(key, None)
        self.recent[key] = cancellation
        oldest_at = cancellation.at - _RETENTION_SECONDS
        while True:
            oldest_key = next(iter(self.recent))
            is_surplus = len(self.recent) > _MAX_CANCELLATIONS
            if self.recent[oldest_key].at >= oldest_at and not is_surplus:
                return
            self.recent.pop(oldest_key)

    def make_record(
        self, job: JobId, at: float, workspace: WorkspaceName
    ) -> UnknownJobCancelled | None:
        """Make the record of a cancellation; None if there is a recent one."""
        earlier = self.recent.get((job, workspace))
        if earlier is not None and at - earlier.at < _REPEAT_SECONDS:
            return None
        return UnknownJobCancelled(job, at, workspace)

    def covers(self, job: JobId, owner: WorkspaceName, at: float) -> bool:
        """Return whether the owner, or anybody, has cancelled a job."""
        earlier = [
            self.recent.get((job, canceller))
            for canceller in (owner, WorkspaceName(''))
        ]
        return any(
            found is not None and at - found.at <= _RETENTION_SECONDS
            for found in earlier
        )

    def get_all(self) -> tuple[EarlyCancellation, ...]:
        """Get the cancellations, oldest first."""
        return tuple(self.recent.values())

    def restore(self, cancellations: Iterable[EarlyCancellation]) -> None:
        """Replace the cancellations by those of a snapshot."""
        self.recent = {
            (restored.job, restored.workspace): restored
            for restored in cancellations
        }
