"""Client by which any process has the leader handle a request."""

from asyncio import sleep
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define
from expression import Error, Result

from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.requests import Reply, Request, RequestHandler
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_replicas.calls.codec import RequestCodec
from hornbeamstair_replicas.calls.endpoints.channel import (
    LeaderChannel,
    LeaderService,
)
from hornbeamstair_replicas.calls.trail import CallTrail
from hornbeamstair_replicas.events import LeaderCallLateEvent
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
    StorageFailure,
)
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId

__all__ = ('LeaderClient', 'RequestService')

_RETRY_SECONDS: Final = 0.1
# Some times what a commit takes; the least of the callers' targets is 0.6 s.
_LATE_SECONDS: Final = 0.5
_PASSING: Final = (NotCommittedFailure, NotLeaderFailure, StorageFailure)


@define(eq=False)
class LeaderClient:
    """Requests to the leader, wherever it is."""

    channel: LeaderChannel
    codec: RequestCodec
    metrics: Metrics
    get_time: Callable[[], float]

    async def ask(
        self,
        request: Request,
        seconds: float,
    ) -> Result[Reply, Failure]:
        """Have a request handled within some seconds."""
        began = self.get_time()
        payload = self.codec.write_request(request)
        trail = CallTrail(began)
        may_have_run = False
        while True:
            left = began + seconds - self.get_time()
            answer = await self.channel.ask(payload, left, trail)
            outcome = answer.bind(self.codec.read_outcome)
            if not _is_passing(outcome) or self._is_over(began, left):
                break
            may_have_run = may_have_run or outcome.error.may_have_run
            await sleep(_RETRY_SECONDS)
        if may_have_run and _is_passing(outcome):
            outcome = Error(NotCommittedFailure('the leader changed'))
        self._tell(request, outcome, trail, self.get_time() - began)
        return outcome

    def _tell(
        self,
        request: Request,
        outcome: Result[Reply, Failure],
        trail: CallTrail,
        seconds: float,
    ) -> None:
        name = 'done' if outcome.is_ok() else outcome.error.name
        self.metrics.leader_calls.labels(request.kind, name).observe(seconds)
        if seconds >= _LATE_SECONDS or _is_passing(outcome):
            log_event(self._make_event(request, name, trail, seconds))

    def _make_event(
        self,
        request: Request,
        outcome: str,
        trail: CallTrail,
        seconds: float,
    ) -> LeaderCallLateEvent:
        silent = self.get_time() - self.channel.heard_at
        waited = {
            f'{step.value}_ms': to_milliseconds(spent)
            for step, spent in trail.seconds.items()
        }
        return LeaderCallLateEvent(
            request.kind,
            request.get_subject(),
            outcome,
            to_milliseconds(seconds),
            trail.attempts,
            trail.last_target,
            to_milliseconds(silent),
            waited,
        )

    def _is_over(self, began: float, left: float) -> bool:
        if left < _RETRY_SECONDS:
            return True
        return self.channel.is_out_of_reach(began, self.get_time())


def _is_passing(outcome: Result[Reply, Failure]) -> bool:
    """Tell whether another leader may soon do what this one could not."""
    return outcome.is_error() and isinstance(outcome.error, _PASSING)


@define(eq=False)
class RequestService(LeaderService):
    """Requests handled by this process while it leads."""

    group: VotingGroup
    handlers: Sequence[RequestHandler]
    codec: RequestCodec
    is_leading: Callable[[], bool]

    def leads(self) -> bool:
        """Tell whether this process may answer as the leader now."""
        return self.is_leading()

    def get_leader(self) -> VoterId:
        """Get the leader as far as known."""
        state = self.group.node.voter.state
        return state.get_recent_leader(self.group.get_time())

    def get_voters(self) -> tuple[VoterId, ...]:
        """Get the voters of the group."""
        return self.group.get_status().voters

    async def answer(self, payload: bytes) -> bytes:
        """Answer a request; empty to an empty one."""
        if not payload:
            return b''
        request = self.codec.read_request(payload)
        if request.is_error():
            return self.codec.write_outcome(Error(request.error))
        handler = self._find_handler(request.ok)
        return self.codec.write_outcome(await handler.handle(request.ok))

    def _find_handler(self, request: Request) -> RequestHandler:
        return next(
            handler
            for handler in self.handlers
            if isinstance(request, handler.requests)
        )
