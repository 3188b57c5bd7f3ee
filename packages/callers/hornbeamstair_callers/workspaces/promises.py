"""Jobs within and beyond the rate that their workspaces are promised."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_core.ids import JobId, WorkspaceName
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('PromisedRates',)

# Callers send in bursts: a workspace may use up the rate of this time at
# once, about the length of a peak of its callers.
_BURST_SECONDS: Final = 5.0


@define(eq=False)
class PromisedRates:
    """Token bucket of each workspace, filled at the rate of its weight.

    The state follows from the accepted jobs, so that a new leader gets the
    same one: ended jobs are kept for longer than a bucket takes to fill.
    """

    manifest: ManifestTable
    # Wall-clock times from which the buckets are full again.
    full_at: dict[WorkspaceName, float] = field(factory=dict)
    # Open jobs beyond the rate.
    beyond: set[JobId] = field(factory=set)

    def add_jobs(self, jobs: Iterable[Job]) -> None:
        """Add the jobs that a new leader finds."""
        for job in sorted(jobs, key=lambda found: found.accepted_at):
            self.add_job(job)

    def add_job(self, job: Job) -> None:
        """Take a token for an accepted job, or note that there is none."""
        workspace = self.manifest.workspaces.get(job.workspace)
        if workspace is None:
            return
        full_at = max(
            self.full_at.get(job.workspace, job.accepted_at), job.accepted_at
        )
        token_seconds = 1 / workspace.weight if workspace.weight > 0 else 0
        # A bucket holds one token at least.
        latest = job.accepted_at + max(_BURST_SECONDS - token_seconds, 0)
        if token_seconds and full_at <= latest:
            self.full_at[job.workspace] = full_at + token_seconds
        elif job.is_open:
            self.beyond.add(job.spec.job)

    def discard(self, job: JobId) -> None:
        """Forget a job that has ended."""
        self.beyond.discard(job)

    def is_beyond(self, job: Job) -> bool:
        """Return whether a job is beyond the rate of its workspace."""
        return job.spec.job in self.beyond
