"""Client of the leader in a process with a copy of its tables."""

from attrs import define
from expression import Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.requests import DoneReply, Reply, Request
from hornbeamstair_replicas.calls.endpoints.client import LeaderClient
from hornbeamstair_upstreams.work.known_announcements import (
    KnownAnnouncements,
)
from hornbeamstair_upstreams.work.requests import AnnounceWorker

__all__ = ('AnnouncingClient',)


@define(eq=False)
class AnnouncingClient(LeaderClient):
    """Client that confirms unchanged announcements of workers itself.

    On a site with thousands of workers, their announcements would take more of
    the leader's time than its polls.
    """

    known: KnownAnnouncements

    async def ask(
        self,
        request: Request,
        seconds: float,
    ) -> Result[Reply, Failure]:
        """Have the leader handle a request that it has to know of."""
        if isinstance(request, AnnounceWorker):
            if self.known.contains(request.announced):
                return Ok(DoneReply())
        return await super().ask(request, seconds)
