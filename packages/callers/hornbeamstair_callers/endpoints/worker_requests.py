"""Handling of requests of workers on the leader."""

from collections.abc import Callable
from typing import ClassVar

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.service import RecordCommitter
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.requests import (
    DoneReply,
    Reply,
    Request,
    RequestHandler,
)
from hornbeamstair_replicas.failures import NotLeaderFailure
from hornbeamstair_upstreams.work.checks import check_announcement
from hornbeamstair_upstreams.work.messages import (
    WorkerAnnouncement,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.requests import (
    AnnounceWorker,
    WithdrawWorker,
)

__all__ = ('WorkerRequestHandler',)


@define(eq=False)
class WorkerRequestHandler(RequestHandler):
    """Handles the requests of workers."""

    requests: ClassVar[tuple[type[Request], ...]] = (
        AnnounceWorker,
        WithdrawWorker,
    )
    replies: ClassVar[tuple[type[Reply], ...]] = (DoneReply,)

    committer: RecordCommitter
    get_moment: Callable[[], Moment]

    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
        scheduler = self.committer.find_scheduler()
        if scheduler is None:
            return Error(NotLeaderFailure(''))
        now = self.get_moment()
        match request:
            case AnnounceWorker(announced):
                checked = check_announcement(announced, now).bind(
                    scheduler.check_identity
                )
                if checked.is_error():
                    return Error(checked.error)
                if scheduler.handle_announcement(announced, now):
                    return await self._record(announced)
            case WithdrawWorker(worker):
                scheduler.handle_withdrawal(worker, now)
        return Ok(DoneReply())

    async def _record(
        self, announced: WorkerAnnouncement
    ) -> Result[Reply, Failure]:
        committed = await self.committer.commit((WorkerSeen(announced),))
        return committed.map(lambda _: DoneReply())
