"""Handling of the operators' queries on the leader."""

from collections.abc import Callable
from typing import ClassVar

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.listing import (
    HostsReply,
    JobRow,
    JobsReply,
    ListHosts,
    ListJobs,
    ListWorkers,
    WorkerRow,
    WorkersReply,
)
from hornbeamstair_callers.jobs.scheduler import SchedulerState
from hornbeamstair_callers.jobs.service import RecordCommitter
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.requests import Reply, Request, RequestHandler
from hornbeamstair_fleet.waves.messages import ListedHost
from hornbeamstair_replicas.failures import NotLeaderFailure
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('ListingHandler',)


@define(eq=False)
class ListingHandler(RequestHandler):
    """Handler of the operators' queries for jobs, hosts and workers."""

    requests: ClassVar[tuple[type[Request], ...]] = (
        ListJobs,
        ListHosts,
        ListWorkers,
    )
    replies: ClassVar[tuple[type[Reply], ...]] = (
        JobsReply,
        HostsReply,
        WorkersReply,
    )

    state: SchedulerState
    committer: RecordCommitter
    get_hosts: Callable[[], tuple[ListedHost, ...]]
    get_moment: Callable[[], Moment]

    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
        scheduler = self.committer.find_scheduler()
        if scheduler is None:
            return Error(NotLeaderFailure(''))
        if isinstance(request, ListJobs):
            jobs = self.state.jobs.jobs.values()
            return Ok(JobsReply(tuple(map(_get_job_row, jobs))))
        if isinstance(request, ListHosts):
            return Ok(HostsReply(self.get_hosts()))
        now = self.get_moment().monotonic
        rows = [
            _get_worker_row(session, now)
            for _, session in sorted(scheduler.sessions.items())
        ]
        return Ok(WorkersReply(tuple(rows)))


def _get_job_row(job: Job) -> JobRow:
    occurrence_tasks = sum(phase.count for phase in job.spec.phases)
    return JobRow(
        job.spec.job,
        job.queue,
        job.state.value,
        occurrence_tasks * job.spec.occurrences,
        sum(job.done.values()),
        sum(1 for task in job.tasks.values() if task.worker),
    )


def _get_worker_row(session: WorkerSession, now: float) -> WorkerRow:
    announced = session.announced
    return WorkerRow(
        announced.worker,
        announced.service,
        announced.zone,
        _get_observed_state(session, now),
        len(session.runs),
        session.get_free_resources().cpu,
    )


def _get_observed_state(session: WorkerSession, now: float) -> str:
    if session.terminated_at is not None:
        return 'gone'
    if session.announced.is_leaving:
        return 'leaving'
    if not session.is_responsive(now):
        return 'unreachable'
    if session.health.is_quarantined(now):
        return 'quarantined'
    return 'reserved' if session.is_reserved else 'up'
