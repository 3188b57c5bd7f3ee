"""Base class of the clients that send attempts to upstreams."""

from abc import ABC, abstractmethod

from expression import Result

from hornbeamstair_upstreams.messages import (
    Attempt,
    AttemptFailure,
    UpstreamAnswer,
    UpstreamRequest,
)

__all__ = ('UpstreamSender',)


class UpstreamSender(ABC):
    """Client of a protocol for calls to upstreams; never retries."""

    @abstractmethod
    async def send(
        self,
        attempt: Attempt,
        request: UpstreamRequest,
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        """Send a request once and return its answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close the idle connections."""
