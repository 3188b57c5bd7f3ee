"""Client and server of the typed requests that the leader handles."""

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
from hornbeamstair_replicas.calls.attempts import CallAttempts
from hornbeamstair_replicas.calls.codec import RequestCodec
from hornbeamstair_replicas.calls.endpoints.channel import (
    LeaderChannel,
    LeaderService,
)
from hornbeamstair_replicas.events import LeaderCallLateEvent
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
    StorageFailure,
)
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId

__all__ = ('LeaderClient', 'RequestService')

_RETRY_INTERVAL_SECONDS: Final = 0.1
# Several times a normal commit; the shortest time target of a caller is 0.6 s.
_SLOW_CALL_SECONDS: Final = 0.5
_TRANSIENT_FAILURES: Final = (
    NotCommittedFailure,
    NotLeaderFailure,
    StorageFailure,
)


@define(eq=False)
class LeaderClient:
    """Sends requests to the leader, which may be any process."""

    channel: LeaderChannel
    codec: RequestCodec
    metrics: Metrics
    get_time: Callable[[], float]

    async def ask(
        self,
        request: Request,
        seconds: float,
    ) -> Result[Reply, Failure]:
        """Have the leader handle a request within a number of seconds."""
        outcome = await self._ask(request, seconds)
        if request.is_read and _may_have_run(outcome):
            # A read that may have run has changed nothing.
            return Error(NotLeaderFailure(''))
        return outcome

    async def _ask(
        self,
        request: Request,
        seconds: float,
    ) -> Result[Reply, Failure]:
        started_at = self.get_time()
        payload = self.codec.encode_request(request)
        call_attempts = CallAttempts(started_at)
        while True:
            left = started_at + seconds - self.get_time()
            answer = await self.channel.ask(payload, left, call_attempts)
            outcome = answer.bind(self.codec.decode_outcome)
            if not _is_transient(outcome) or self._is_over(started_at, left):
                break
            if outcome.error.may_have_run:
                call_attempts.may_have_run = True
            await sleep(_RETRY_INTERVAL_SECONDS)
        if call_attempts.may_have_run and _is_doubtful(request, outcome):
            reason = 'an earlier attempt has no clear outcome'
            outcome = Error(NotCommittedFailure(reason))
        self._report(
            request, outcome, call_attempts, self.get_time() - started_at
        )
        return outcome

    def _report(
        self,
        request: Request,
        outcome: Result[Reply, Failure],
        call_attempts: CallAttempts,
        seconds: float,
    ) -> None:
        name = 'done' if outcome.is_ok() else outcome.error.name
        self.metrics.leader_calls.labels(request.kind, name).observe(seconds)
        if seconds >= _SLOW_CALL_SECONDS or _is_transient(outcome):
            log_event(self._make_event(request, name, call_attempts, seconds))

    def _make_event(
        self,
        request: Request,
        outcome: str,
        call_attempts: CallAttempts,
        seconds: float,
    ) -> LeaderCallLateEvent:
        contact_age = self.get_time() - self.channel.last_contact_at
        waited = {
            f'{attempt.value}_ms': to_milliseconds(spent)
            for attempt, spent in call_attempts.seconds.items()
        }
        return LeaderCallLateEvent(
            request.kind,
            request.get_subject(),
            outcome,
            to_milliseconds(seconds),
            call_attempts.attempts,
            call_attempts.last_target,
            to_milliseconds(contact_age),
            waited,
        )

    def _is_over(self, started_at: float, left: float) -> bool:
        if left < _RETRY_INTERVAL_SECONDS:
            return True
        return self.channel.is_leader_unreachable(started_at, self.get_time())


def _is_transient(outcome: Result[Reply, Failure]) -> bool:
    """Return whether a retry may succeed, possibly with another leader."""
    return outcome.is_error() and isinstance(outcome.error, _TRANSIENT_FAILURES)


def _may_have_run(outcome: Result[Reply, Failure]) -> bool:
    return _is_transient(outcome) and outcome.error.may_have_run


def _is_doubtful(request: Request, outcome: Result[Reply, Failure]) -> bool:
    """Return whether a refusal leaves open what became of other attempts."""
    if outcome.is_ok() or outcome.error.may_have_run:
        return False
    return _is_transient(outcome) or not request.is_refusal_final


@define(eq=False)
class RequestService(LeaderService):
    """Handles requests of other processes while this process leads."""

    group: VotingGroup
    handlers: Sequence[RequestHandler]
    codec: RequestCodec
    is_leading: Callable[[], bool]

    def leads(self) -> bool:
        """Return whether this process may answer as leader now."""
        return self.is_leading()

    def get_leader(self) -> VoterId:
        """Get the known leader, or an empty identifier."""
        state = self.group.node.voter.state
        return state.get_recent_leader(self.group.get_time())

    def get_voters(self) -> tuple[VoterId, ...]:
        """Get the voters of the group."""
        return self.group.get_status().voters

    async def answer(self, payload: bytes) -> bytes:
        """Answer a request, or a probe with an empty payload."""
        if not payload:
            return b''
        request = self.codec.decode_request(payload)
        if request.is_error():
            return self.codec.encode_outcome(Error(request.error))
        handler = self._find_handler(request.ok)
        return self.codec.encode_outcome(await handler.handle(request.ok))

    def _find_handler(self, request: Request) -> RequestHandler:
        return next(
            handler
            for handler in self.handlers
            if isinstance(request, handler.requests)
        )
