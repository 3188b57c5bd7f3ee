"""Base class of the ways to send an attempt to an upstream."""

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
    """Protocol by which upstreams are called; one send is one attempt."""

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
