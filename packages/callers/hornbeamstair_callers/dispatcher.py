"""Decisions which call is admitted, queued, sent or refused."""

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
from hornbeamstair_callers.gates import AdmissionGate, open_gate
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

GateKey = tuple[CustomerId, ServiceName]


@define(eq=False)
class ActiveCall:
    """Admitted call, from its admission to its last outcome."""

    call_id: int
    gate: AdmissionGate
    deadline: float
    attempts: int = 0
    upstream: Upstream | None = None
    queued: QueuedCall | None = None
    tried: set[UpstreamId] = field(factory=set)
    ran_failure: AttemptFailure | None = None


@define
class Dispatcher:
    """Admitted calls, their queues and the slots they hold."""

    directory: UpstreamDirectory
    chooser: UpstreamChooser
    rng: Random
    gates: dict[GateKey, AdmissionGate] = field(factory=dict)
    customers: set[CustomerId] = field(factory=set)
    calls: dict[int, ActiveCall] = field(factory=dict)
    queues: defaultdict[ServiceName, ServiceQueue] = field(
        factory=lambda: defaultdict(ServiceQueue),
    )
    last_call_id: int = 0

    def put_limits(self, limits: Iterable[ServiceLimits], now: float) -> None:
        """Put the limits of all contracts in force."""
        previous = self.gates
        self.gates = {}
        for service_limits in limits:
            key = service_limits.customer, service_limits.service
            gate = previous.get(key)
            if gate is None:
                gate = open_gate(service_limits, now)
            else:
                gate.amend(service_limits)
            self.gates[key] = gate
        self.customers = {customer for customer, _ in self.gates}

    def admit(
        self,
        customer: CustomerId,
        service: ServiceName,
        now: float,
    ) -> Result[ActiveCall, Failure]:
        """Admit a call under its contract or refuse it."""
        gate = self.gates.get((customer, service))
        if gate is None:
            return Error(self._get_unknown(customer, service))
        if not self.directory.has_upstreams(service, now):
            return Error(NoUpstreamFailure(service))
        admitted = gate.admit(now)
        if admitted.is_error():
            return Error(admitted.error)
        self.last_call_id += 1
        deadline = now + gate.limits.start_within
        call = ActiveCall(self.last_call_id, gate, deadline)
        self.calls[call.call_id] = call
        return Ok(call)

    def start(self, call: ActiveCall, now: float) -> CallEffect | None:
        """Start an attempt, queue the call or refuse it."""
        limits = call.gate.limits
        queue = self.queues[limits.service]
        upstream = None if queue.length else self._choose(call, now)
        if upstream is not None:
            return self._take_slot(call, upstream)
        if now >= call.deadline:
            return self.refuse_late(call)
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
        """Refuse a queued call whose caller hung up."""
        self._leave_queue(call)
        return RefuseCall(call.call_id, CallerGoneFailure())

    def refuse_late(self, call: ActiveCall) -> RefuseCall:
        """Refuse a call that can no longer start in time."""
        self._leave_queue(call)
        failure = StartTimeoutFailure(call.gate.limits.start_within)
        return RefuseCall(call.call_id, failure)

    def fill(self, service: ServiceName, now: float) -> list[CallEffect]:
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
        """Give back the slot of an attempt and judge its upstream."""
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
            call.gate.retry_budget,
            now,
            idempotent=call.gate.limits.idempotent,
        )

    def finish(
        self,
        call: ActiveCall,
        now: float,
        *,
        failed: bool,
    ) -> list[CallEffect]:
        """End a call and start others in its slot."""
        self._leave_queue(call)
        self.end_attempt(call, now, failed=failed)
        self.calls.pop(call.call_id)
        call.gate.release()
        return self.fill(call.gate.limits.service, now)

    def _choose(self, call: ActiveCall, now: float) -> Upstream | None:
        service = call.gate.limits.service
        candidates = self.directory.find_free(service, now)
        untried = [
            found
            for found in candidates
            if found.announcement.upstream not in call.tried
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
            self.queues[call.gate.limits.service].remove(call.queued)
            call.queued = None

    def _get_unknown(
        self,
        customer: CustomerId,
        service: ServiceName,
    ) -> Failure:
        if customer in self.customers:
            return UnknownServiceFailure(customer, service)
        return UnknownCustomerFailure(customer)
