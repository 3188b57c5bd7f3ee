"""Policies by which workspaces share the workers."""

from collections.abc import Collection

from attrs import frozen

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ranking import JobRankingPolicy
from hornbeamstair_callers.jobs.run_times import RunTimes
from hornbeamstair_callers.workspaces.event_log import WorkspaceEventLog
from hornbeamstair_callers.workspaces.promises import PromisedRates
from hornbeamstair_callers.workspaces.quotas import (
    ManifestQuotas,
    StartQuotas,
)
from hornbeamstair_callers.workspaces.ranking import PromisedRanking
from hornbeamstair_callers.workspaces.refusals import RefusalCounts
from hornbeamstair_callers.workspaces.shares import (
    DominantShares,
    WorkspaceShares,
)
from hornbeamstair_callers.workspaces.usage import WorkspaceUsage
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('WorkspacePolicies',)


@frozen
class WorkspacePolicies:
    """Policies of one scheduler; they live as long as its term."""

    quotas: StartQuotas
    shares: WorkspaceShares
    promises: PromisedRates
    ranking: JobRankingPolicy
    refusals: RefusalCounts
    event_log: WorkspaceEventLog

    @classmethod
    def make(
        cls,
        manifest: ManifestTable,
        usage: WorkspaceUsage,
        jobs: Collection[Job],
        run_times: RunTimes,
    ) -> 'WorkspacePolicies':
        """Make the policies of a new leader from the replicated tables."""
        quotas = ManifestQuotas(manifest, usage)
        promises = PromisedRates(manifest)
        promises.add_jobs(jobs)
        refusals = RefusalCounts()
        return cls(
            quotas,
            DominantShares(manifest, usage, quotas.reserved),
            promises,
            PromisedRanking(run_times, promises),
            refusals,
            WorkspaceEventLog(quotas, promises, refusals),
        )
