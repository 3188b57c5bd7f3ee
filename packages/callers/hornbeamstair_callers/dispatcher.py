"""Decisions on whether a call is admitted, queued, sent or refused."""

from collections import defaultdict
from collections.abc import Iterable
from random import Random

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_callers.failures import (
    CallerGoneFailure,
    NoUpstreamFailure,
    QueueFullFailure,
    StartTimeoutFailure,
    UnknownCustomerFailure,
    UnknownServiceFailure,
)
from hornbeamstair_callers.limiters import AdmissionLimiter, make_limiter
from hornbeamstair_callers.messages import CallEffect, RefuseCall, StartAttempt
from hornbeamstair_callers.queues import QueuedCall, ServiceQueue
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId, ServiceName, UpstreamId
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_operators.limits import ServiceLimits
from hornbeamstair_upstreams.choosers.base import UpstreamChooser
from hornbeamstair_upstreams.directory import UpstreamDirectory
from hornbeamstair_upstreams.lifecycle import Upstream
from hornbeamstair_upstreams.messages import AttemptFailure
from hornbeamstair_upstreams.retries import RetryDecision, decide_retry

__all__ = ('ActiveCall', 'Dispatcher')

LimiterKey = tuple[CustomerId, ServiceName]


@define(eq=False)
class ActiveCall:
    """State of an admitted call."""

    call_id: int
    limiter: AdmissionLimiter
    deadline: float
    attempts: int = 0
    upstream: Upstream | None = None
    queued: QueuedCall | None = None
    tried: set[UpstreamId] = field(factory=set)
    ambiguous_failure: AttemptFailure | None = None


@define
class Dispatcher:
    """Dispatcher of admitted calls to the slots of upstreams."""

    directory: UpstreamDirectory
    chooser: UpstreamChooser
    rng: Random
    limiters: dict[LimiterKey, AdmissionLimiter] = field(factory=dict)
    customers: set[CustomerId] = field(factory=set)
    calls: dict[int, ActiveCall] = field(factory=dict)
    queues: defaultdict[ServiceName, ServiceQueue] = field(
        factory=lambda: defaultdict(ServiceQueue),
    )
    last_call_id: int = 0

    def set_limits(self, limits: Iterable[ServiceLimits], now: float) -> None:
        """Replace the limits of all contracts."""
        previous = self.limiters
        self.limiters = {}
        for service_limits in limits:
            key = service_limits.customer, service_limits.service
            limiter = previous.get(key)
            if limiter is None:
                limiter = make_limiter(service_limits, now)
            else:
                limiter.replace_limits(service_limits)
            self.limiters[key] = limiter
        self.customers = {customer for customer, _ in self.limiters}

    def admit(
        self,
        customer: CustomerId,
        service: ServiceName,
        now: float,
    ) -> Result[ActiveCall, Failure]:
        """Admit a call under its contract or refuse it."""
        limiter = self.limiters.get((customer, service))
        if limiter is None:
            return Error(self._get_unknown_failure(customer, service))
        if not self.directory.has_upstreams(service, now):
            return Error(NoUpstreamFailure(service))
        admitted = limiter.admit(now)
        if admitted.is_error():
            return Error(admitted.error)
        self.last_call_id += 1
        deadline = now + limiter.limits.start_within
        call = ActiveCall(self.last_call_id, limiter, deadline)
        self.calls[call.call_id] = call
        return Ok(call)

    def start(self, call: ActiveCall, now: float) -> CallEffect | None:
        """Start an attempt, queue the call or refuse it."""
        limits = call.limiter.limits
        queue = self.queues[limits.service]
        upstream = None if queue.length else self._choose(call, now)
        if upstream is not None:
            return self._take_slot(call, upstream)
        if now >= call.deadline:
            return self.refuse_expired(call)
        if queue.length >= limits.max_queued:
            return RefuseCall(
                call.call_id,
                QueueFullFailure(limits.max_queued),
            )
        call.queued = QueuedCall(
            call_id=call.call_id,
            customer=limits.customer,
            weight=limits.weight,
            urgency=limits.urgency,
            deadline=call.deadline,
        )
        queue.push(call.queued)
        return None

    def abandon(self, call: ActiveCall) -> RefuseCall:
        """Refuse a queued call whose caller disconnected."""
        self._leave_queue(call)
        return RefuseCall(call.call_id, CallerGoneFailure())

    def refuse_expired(self, call: ActiveCall) -> RefuseCall:
        """Refuse a call that cannot start before its deadline."""
        self._leave_queue(call)
        failure = StartTimeoutFailure(call.limiter.limits.start_within)
        return RefuseCall(call.call_id, failure)

    def start_queued_calls(
        self, service: ServiceName, now: float
    ) -> list[CallEffect]:
        """Start queued calls of a service while slots are free."""
        effects: list[CallEffect] = []
        queue = self.queues[service]
        while queue.length and self.directory.find_free(service, now):
            queued = queue.pop()
            if queued is None:
                break
            call = self.calls[queued.call_id]
            call.queued = None
            upstream = self._choose(call, now)
            if upstream is not None:
                effects.append(self._take_slot(call, upstream))
        return effects

    def end_attempt(
        self,
        call: ActiveCall,
        now: float,
        *,
        failed: bool,
    ) -> None:
        """Release the slot of an attempt and update its upstream's health."""
        upstream = call.upstream
        if upstream is None:
            return
        call.upstream = None
        upstream.in_flight -= 1
        check_invariant(
            upstream.in_flight >= 0,
            'calls in flight are never negative',
            upstream.announcement.upstream,
        )
        self.directory.add_attempt(upstream, now, failed=failed)

    def decide_retry(
        self,
        call: ActiveCall,
        failure: AttemptFailure,
        now: float,
    ) -> RetryDecision:
        """Decide whether a call may be attempted again."""
        return decide_retry(
            failure,
            call.attempts,
            call.limiter.retry_budget,
            now,
            idempotent=call.limiter.limits.idempotent,
        )

    def finish(
        self,
        call: ActiveCall,
        now: float,
        *,
        failed: bool,
    ) -> list[CallEffect]:
        """Remove a call and start queued calls in its slot."""
        self._leave_queue(call)
        self.end_attempt(call, now, failed=failed)
        self.calls.pop(call.call_id)
        call.limiter.release()
        return self.start_queued_calls(call.limiter.limits.service, now)

    def _choose(self, call: ActiveCall, now: float) -> Upstream | None:
        service = call.limiter.limits.service
        candidates = self.directory.find_free(service, now)
        untried = [
            upstream
            for upstream in candidates
            if upstream.announcement.upstream not in call.tried
        ]
        if not candidates:
            return None
        return self.chooser.choose(untried or candidates, self.rng)

    def _take_slot(self, call: ActiveCall, upstream: Upstream) -> StartAttempt:
        check_invariant(
            upstream.free_slots > 0,
            'calls in flight never exceed the slots',
            upstream.announcement.upstream,
        )
        check_invariant(
            call.upstream is None,
            'a call has one attempt at a time',
            str(call.call_id),
        )
        upstream.in_flight += 1
        call.upstream = upstream
        call.tried.add(upstream.announcement.upstream)
        call.attempts += 1
        return StartAttempt(call.call_id, upstream)

    def _leave_queue(self, call: ActiveCall) -> None:
        if call.queued is not None:
            self.queues[call.limiter.limits.service].remove(call.queued)
            call.queued = None

    def _get_unknown_failure(
        self,
        customer: CustomerId,
        service: ServiceName,
    ) -> Failure:
        if customer in self.customers:
            return UnknownServiceFailure(customer, service)
        return UnknownCustomerFailure(customer)
