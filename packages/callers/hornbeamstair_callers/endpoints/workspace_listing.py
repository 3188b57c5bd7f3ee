"""Handling of the operators' queries for workspaces on the leader."""

from collections.abc import Callable
from typing import ClassVar

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.jobs.service import RecordCommitter
from hornbeamstair_callers.workspaces.failures import WorkspaceUnknownFailure
from hornbeamstair_callers.workspaces.listing import (
    ListWorkspaces,
    WorkspaceRow,
    WorkspacesReply,
)
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.requests import Reply, Request, RequestHandler
from hornbeamstair_operators.manifest.messages import Workspace
from hornbeamstair_replicas.failures import NotLeaderFailure

__all__ = ('WorkspaceListingHandler',)


@define(eq=False)
class WorkspaceListingHandler(RequestHandler):
    """Handler of the operators' queries for workspaces."""

    requests: ClassVar[tuple[type[Request], ...]] = (ListWorkspaces,)
    replies: ClassVar[tuple[type[Reply], ...]] = (WorkspacesReply,)

    state: SchedulerState
    committer: RecordCommitter
    get_moment: Callable[[], Moment]

    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
        if not isinstance(request, ListWorkspaces):
            raise TypeError(request)
        scheduler = self.committer.find_scheduler()
        if scheduler is None:
            return Error(NotLeaderFailure(''))
        known = self.state.manifest.workspaces
        if request.workspace and request.workspace not in known:
            return Error(WorkspaceUnknownFailure(request.workspace))
        rows = [
            self._get_row(scheduler, workspace)
            for name, workspace in sorted(known.items())
            if request.workspace in {'', name}
        ]
        return Ok(WorkspacesReply(tuple(rows)))

    def _get_row(
        self, scheduler: Scheduler, workspace: Workspace
    ) -> WorkspaceRow:
        name = workspace.workspace
        policies = scheduler.workspaces
        used = policies.quotas.get_usage(name)
        jobs = [
            job for job in self.state.jobs.get_open() if job.workspace == name
        ]
        waiting = scheduler.waiting.get_waiting(self.get_moment().wall)
        shares = [
            policies.shares.get_share(service, name)
            for service in self.state.manifest.services
        ]
        return WorkspaceRow(
            workspace=name,
            keys=len(workspace.key_digests),
            weight=workspace.weight,
            cpu=used.cpu,
            max_cpu=workspace.max_cpu,
            memory=used.memory,
            max_memory=workspace.max_memory,
            accelerators=used.accelerators,
            max_accelerators=workspace.max_accelerators,
            share=max(shares, default=0),
            open_jobs=len(jobs),
            waiting_jobs=sum(
                found.job.workspace == name
                for queue in waiting.values()
                for found in queue
            ),
            beyond_jobs=sum(map(policies.promises.is_beyond, jobs)),
            is_held=policies.quotas.is_held(name),
            refusals=policies.refusals.get_counts(name),
        )
