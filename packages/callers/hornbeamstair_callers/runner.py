"""Runs calls from their admission to their answers."""

from asyncio import (
    FIRST_COMPLETED,
    Future,
    Task,
    ensure_future,
    get_running_loop,
    wait,
)
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from http import HTTPStatus

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_callers.dispatcher import ActiveCall, Dispatcher
from hornbeamstair_callers.key_store import KeyStore
from hornbeamstair_callers.messages import (
    CallEffect,
    CallRequest,
    RefuseCall,
    StartAttempt,
)
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure, StoppingFailure
from hornbeamstair_core.ids import ServiceName
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_upstreams.failures import (
    IncompleteAnswerFailure,
    OutcomeUnknownFailure,
    UpstreamsUnreachableFailure,
)
from hornbeamstair_upstreams.lifecycle import Upstream
from hornbeamstair_upstreams.messages import (
    Attempt,
    AttemptEnd,
    AttemptFailure,
    UpstreamAnswer,
)
from hornbeamstair_upstreams.sender import UpstreamSender

__all__ = ('CallResult', 'CallRunner', 'WaitForDisconnect')

CallResult = Result[UpstreamAnswer, Failure]
WaitForDisconnect = Callable[[], Awaitable[None]]


@define(eq=False)
class CallRunner:
    """Runner of the calls of one process."""

    dispatcher: Dispatcher
    client: UpstreamSender
    keys: KeyStore
    metrics: Metrics
    get_time: Callable[[], float]
    is_ready: bool = True
    is_stopping: bool = False
    pending: 'dict[int, Future[CallEffect]]' = field(factory=dict)

    @asynccontextmanager
    async def run(
        self,
        call: CallRequest,
        wait_for_disconnect: WaitForDisconnect,
    ) -> AsyncIterator[CallResult]:
        """Run a call; its slot is held until the context exits."""
        admitted = await self._admit(call)
        if admitted.is_error():
            yield self._count(call, Error(admitted.error))
            return
        if isinstance(admitted.ok, UpstreamAnswer):
            yield Ok(admitted.ok)
            return
        active = admitted.ok
        failed = True
        try:
            outcome = await self._run_admitted(
                active, call, wait_for_disconnect
            )
            failed = _is_failure(outcome)
            yield self._count(call, outcome)
        finally:
            self._execute(
                self.dispatcher.finish(active, self.get_time(), failed=failed),
            )

    def start_queued_calls(self, service: ServiceName) -> None:
        """Start queued calls of a service that has free slots."""
        self._execute(
            self.dispatcher.start_queued_calls(service, self.get_time())
        )

    async def _admit(
        self,
        call: CallRequest,
    ) -> Result[ActiveCall | UpstreamAnswer, Failure]:
        if self.is_stopping:
            return Error(StoppingFailure())
        if call.idempotency_key:
            known = await self.keys.find(call)
            if known is not None:
                return known.map(lambda answer: answer)
        return self.dispatcher.admit(
            call.customer,
            call.service,
            self.get_time(),
        ).map(lambda active: active)

    async def _run_admitted(
        self,
        active: ActiveCall,
        call: CallRequest,
        wait_for_disconnect: WaitForDisconnect,
    ) -> CallResult:
        started = await self._acquire_slot(active, wait_for_disconnect)
        if started.is_error():
            return Error(started.error)
        if not call.idempotency_key:
            return await self._attempt(
                active, call, wait_for_disconnect, started.ok
            )
        replayed = await self.keys.claim(call)
        if replayed is not None:
            return replayed
        outcome = await self._attempt(
            active, call, wait_for_disconnect, started.ok
        )
        await self.keys.record(call, outcome)
        return outcome

    async def _attempt(
        self,
        active: ActiveCall,
        call: CallRequest,
        wait_for_disconnect: WaitForDisconnect,
        upstream: Upstream,
    ) -> CallResult:
        while True:
            sent = await self._send(call, upstream)
            if sent.is_ok():
                return Ok(sent.ok)
            failure = sent.error
            if not self._may_retry(active, failure):
                return Error(_get_failure(active.ambiguous_failure or failure))
            started = await self._acquire_slot(active, wait_for_disconnect)
            if started.is_error():
                return Error(_get_refusal(active, started.error))
            upstream = started.ok

    async def _send(
        self,
        call: CallRequest,
        upstream: Upstream,
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        announced = upstream.announcement
        attempt = Attempt(announced.address, announced.port)
        return await self.client.send(attempt, call.request)

    def _may_retry(self, active: ActiveCall, failure: AttemptFailure) -> bool:
        now = self.get_time()
        if failure.may_have_run:
            active.ambiguous_failure = failure
        self.dispatcher.end_attempt(active, now, failed=True)
        for event in self.dispatcher.directory.drain_events():
            log_event(event)
        decision = self.dispatcher.decide_retry(active, failure, now)
        self.metrics.count_retry(decision.verdict.value)
        self.start_queued_calls(active.limiter.limits.service)
        return decision.is_allowed

    async def _acquire_slot(
        self,
        active: ActiveCall,
        wait_for_disconnect: WaitForDisconnect,
    ) -> Result[Upstream, Failure]:
        effect = self.dispatcher.start(active, self.get_time())
        if effect is None:
            effect = await self._wait_for_slot(active, wait_for_disconnect)
        check_invariant(
            effect.call_id == active.call_id,
            'an effect belongs to the call that waits for it',
            f'{effect.call_id} for {active.call_id}',
        )
        if isinstance(effect, RefuseCall):
            return Error(effect.failure)
        return Ok(effect.upstream)

    async def _wait_for_slot(
        self, active: ActiveCall, wait_for_disconnect: WaitForDisconnect
    ) -> CallEffect:
        slot: Future[CallEffect] = get_running_loop().create_future()
        self.pending[active.call_id] = slot
        disconnected: Task[None] = ensure_future(wait_for_disconnect())
        try:
            await wait(
                (slot, disconnected),
                timeout=max(0, active.deadline - self.get_time()),
                return_when=FIRST_COMPLETED,
            )
        finally:
            self.pending.pop(active.call_id)
            disconnected.cancel()
        if slot.done():
            return slot.result()
        if disconnected.done():
            return self.dispatcher.abandon(active)
        return self.dispatcher.refuse_expired(active)

    def _execute(self, effects: Iterable[CallEffect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.pending[effect.call_id].set_result(effect)

    def _count(self, call: CallRequest, outcome: CallResult) -> CallResult:
        name = 'answered'
        if outcome.is_error():
            name = outcome.error.name
            self.metrics.count_refusal(outcome.error)
        self.metrics.outcomes.labels(call.service, name).inc()
        return outcome


def _is_failure(outcome: CallResult) -> bool:
    if outcome.is_error():
        return outcome.error.may_have_run
    return outcome.ok.status >= HTTPStatus.INTERNAL_SERVER_ERROR


def _get_failure(failure: AttemptFailure) -> Failure:
    reason = f'{failure.end.value}: {failure.details}'
    if not failure.may_have_run:
        return UpstreamsUnreachableFailure(reason)
    if failure.end in {AttemptEnd.truncated, AttemptEnd.malformed}:
        return IncompleteAnswerFailure(reason)
    return OutcomeUnknownFailure(reason)


def _get_refusal(active: ActiveCall, refusal: Failure) -> Failure:
    """Get the refusal, unless an earlier attempt may have run."""
    if active.ambiguous_failure is None:
        return refusal
    return _get_failure(active.ambiguous_failure)
