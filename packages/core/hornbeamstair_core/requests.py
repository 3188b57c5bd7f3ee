"""Requests that the leader of the system handles for any process."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import frozen
from expression import Result

from hornbeamstair_core.failures import Failure

__all__ = ('DoneReply', 'Reply', 'Request', 'RequestHandler')


@frozen
class Request(ABC):
    """Request to the leader; handling it twice is like handling it once."""

    kind: ClassVar[str]

    def get_subject(self) -> str:
        """Get the identifier of what it is about, for the log."""
        return ''


@frozen
class Reply(ABC):
    """Reply of the leader to a request that was carried out."""

    kind: ClassVar[str]


@frozen
class DoneReply(Reply):
    """Reply that tells nothing more."""

    kind: ClassVar[str] = 'done'


class RequestHandler(ABC):
    """Handler of one family of requests on the leader."""

    requests: ClassVar[tuple[type[Request], ...]]
    replies: ClassVar[tuple[type[Reply], ...]]

    @abstractmethod
    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
