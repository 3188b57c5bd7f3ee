"""Requests that the leader handles for any process."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import frozen
from expression import Result

from hornbeamstair_core.failures import Failure

__all__ = ('DoneReply', 'Reply', 'Request', 'RequestHandler')


@frozen
class Request(ABC):
    """Request to the leader; its handling is idempotent."""

    kind: ClassVar[str]
    # Whether a refusal tells that no earlier attempt was accepted.
    is_refusal_final: ClassVar[bool] = True
    # Whether the request changes nothing, so that one without an answer may
    # be reported as not run.
    is_read: ClassVar[bool] = False

    def get_subject(self) -> str:
        """Get the identifier of its subject for the event log."""
        return ''


@frozen
class Reply(ABC):
    """Reply of the leader to a successful request."""

    kind: ClassVar[str]


@frozen
class DoneReply(Reply):
    """Reply without content."""

    kind: ClassVar[str] = 'done'


class RequestHandler(ABC):
    """Handler of one set of request classes on the leader."""

    requests: ClassVar[tuple[type[Request], ...]]
    replies: ClassVar[tuple[type[Reply], ...]]

    @abstractmethod
    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
