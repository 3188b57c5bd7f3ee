"""Calls and the effects of dispatch decisions."""

from attrs import frozen

from hornbeamstair_core.effects import Effect
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_upstreams.lifecycle import Upstream
from hornbeamstair_upstreams.messages import UpstreamRequest

__all__ = ('CallEffect', 'CallRequest', 'RefuseCall', 'StartAttempt')


@frozen
class CallRequest:
    """Call from a customer to a service."""

    customer: CustomerId
    service: ServiceName
    idempotency_key: str
    request: UpstreamRequest


@frozen
class StartAttempt(Effect):
    """Send a call to an upstream on which it holds a slot."""

    call_id: int
    upstream: Upstream


@frozen
class RefuseCall(Effect):
    """Refuse a call that was not run."""

    call_id: int
    failure: Failure


CallEffect = StartAttempt | RefuseCall
