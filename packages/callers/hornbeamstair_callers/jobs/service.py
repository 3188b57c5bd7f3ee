"""Handling of requests about jobs on the leader."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.checks import check_job
from hornbeamstair_callers.jobs.events import JobAcceptedEvent
from hornbeamstair_callers.jobs.failures import (
    AdviceUnsupportedFailure,
    JobUnknownFailure,
    QueueUnknownFailure,
)
from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.records import (
    JobAccepted,
    JobCancelled,
    RecordListener,
)
from hornbeamstair_callers.jobs.requests import (
    CancelJob,
    CountPending,
    JobReply,
    PendingReply,
    QueueAddress,
    ShowJob,
    SubmitJob,
)
from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.workspaces.access import QueueAccess, find_access
from hornbeamstair_callers.workspaces.quotas import check_quota
from hornbeamstair_core.committing import Committer
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.requests import (
    DoneReply,
    Reply,
    Request,
    RequestHandler,
)
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_replicas.failures import NotLeaderFailure

__all__ = ('JobRequestHandler', 'RecordCommitter')


class RecordCommitter(Committer, RecordListener):
    """Commits records, listens for applied ones and finds the scheduler."""

    @abstractmethod
    def find_scheduler(self) -> Scheduler | None:
        """Find the scheduler while this process leads."""


@define(eq=False)
class JobRequestHandler(RequestHandler):
    """Handles the requests of callers."""

    requests: ClassVar[tuple[type[Request], ...]] = (
        CancelJob,
        CountPending,
        ShowJob,
        SubmitJob,
    )
    replies: ClassVar[tuple[type[Reply], ...]] = (JobReply, PendingReply)

    state: SchedulerState
    committer: RecordCommitter
    get_moment: Callable[[], Moment]

    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
        match request:
            case SubmitJob():
                return await self._submit(request)
            case ShowJob():
                return self._find_job(request).map(_show)
            case CancelJob():
                return await self._cancel(request)
            case CountPending(place):
                return self._count(place)
        raise TypeError(request)

    async def _submit(self, request: SubmitJob) -> Result[Reply, Failure]:
        access = find_access(self.state.manifest, request.place)
        if access.is_error():
            return Error(access.error)
        checked = check_job(request.spec)
        if checked.is_error():
            return Error(checked.error)
        queue = access.ok.queue
        if queue.advice is not None:
            return Error(AdviceUnsupportedFailure(queue.queue))
        if request.spec.job in self.state.jobs.jobs:
            return Ok(DoneReply())
        return await self._accept(request.spec, access.ok)

    async def _accept(
        self,
        spec: JobSpec,
        access: QueueAccess,
    ) -> Result[Reply, Failure]:
        started = self.get_moment()
        record = JobAccepted(
            spec,
            access.queue.queue,
            access.queue.service,
            started.wall,
            access.workspace,
        )
        admitted = self._admit(record, started)
        if admitted.is_error():
            return Error(admitted.error)
        committed = await self.committer.commit((record,))
        if committed.is_error():
            return Error(committed.error)
        seconds = self.get_moment().monotonic - started.monotonic
        log_event(
            JobAcceptedEvent(
                spec.job,
                record.queue,
                record.service,
                sum(phase.count for phase in spec.phases),
                self.state.manifest.version,
                to_milliseconds(seconds),
                record.workspace,
            ),
        )
        return Ok(DoneReply())

    def _admit(
        self,
        record: JobAccepted,
        now: Moment,
    ) -> Result[None, Failure]:
        scheduler = self.committer.find_scheduler()
        if scheduler is None:
            # The commit fails and tells the caller.
            return Ok(None)
        checked = check_quota(
            self.state.manifest, record.workspace, record.spec
        ).bind(lambda _: scheduler.policies.admission.check(record, now))
        if checked.is_error():
            scheduler.workspaces.refusals.add(record.workspace, checked.error)
        return checked

    async def _cancel(self, request: CancelJob) -> Result[Reply, Failure]:
        job = self._find_job(request)
        if job.is_error():
            if isinstance(job.error, JobUnknownFailure):
                return await self._cancel_unknown(request, job.error)
            return Error(job.error)
        if job.ok.is_open:
            record = JobCancelled(request.job, self.get_moment().wall)
            committed = await self.committer.commit((record,))
            if committed.is_error():
                return Error(committed.error)
        return Ok(DoneReply())

    async def _cancel_unknown(
        self,
        request: CancelJob,
        failure: JobUnknownFailure,
    ) -> Result[Reply, Failure]:
        """Cancel a job whose submission may still be on its way."""
        access = find_access(self.state.manifest, request.place)
        jobs = self.state.jobs
        if access.is_error() or request.job in jobs.jobs:
            return Error(failure)
        record = jobs.early_cancellations.make_record(
            request.job, self.get_moment().wall, access.ok.workspace
        )
        if record is not None:
            committed = await self.committer.commit((record,))
            if committed.is_error():
                return Error(committed.error)
        return Error(failure)

    def _find_job(
        self,
        request: ShowJob | CancelJob,
    ) -> Result[Job, Failure]:
        access = find_access(self.state.manifest, request.place)
        if access.is_error():
            return Error(access.error)
        job = self.state.jobs.jobs.get(request.job)
        if job is None or not access.ok.may_access(job.workspace):
            return Error(JobUnknownFailure(request.job))
        return Ok(job)

    def _count(self, place: QueueAddress) -> Result[Reply, Failure]:
        access = find_access(self.state.manifest, place)
        if access.is_error():
            return Error(access.error)
        queue = access.ok.queue
        if place.path != queue.path_prefix:
            # What follows the prefix is not the ID of a job.
            version = self.state.manifest.version
            return Error(QueueUnknownFailure(place.host, place.path, version))
        scheduler = self.committer.find_scheduler()
        if scheduler is None:
            return Error(NotLeaderFailure(''))
        return Ok(PendingReply(scheduler.unstarted.count(queue.queue)))


def _show(job: Job) -> Reply:
    return JobReply(job.spec.job, job.state)
