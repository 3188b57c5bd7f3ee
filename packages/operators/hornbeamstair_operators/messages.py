"""Contracts, changes and their answers."""

from enum import Enum

from attrs import frozen

from hornbeamstair_core.ids import CustomerId, RequestId, ServiceName, ZoneName

__all__ = (
    'ChangeAnswer',
    'Contract',
    'ServicePromise',
    'Urgency',
)


class Urgency(Enum):
    """Urgency class of a service's calls."""

    urgent = 'urgent'
    batch = 'batch'


@frozen
class ServicePromise:
    """What a contract promises for one service."""

    service: ServiceName
    concurrency: int
    rate: float
    burst_multiple: float
    burst_seconds: float
    urgency: Urgency
    start_within: float
    idempotent: bool


@frozen
class Contract:
    """What was promised to one customer."""

    customer: CustomerId
    home_zone: ZoneName
    availability: float
    window_days: int
    planned_share: float
    services: tuple[ServicePromise, ...]

    def find_promise(self, service: ServiceName) -> ServicePromise | None:
        """Find the promise for a service."""
        for promise in self.services:
            if promise.service == service:
                return promise
        return None


@frozen
class ChangeAnswer:
    """Answer to a change, the same for each resend of its request."""

    request_id: RequestId
    accepted: bool
    revision: int
    code: int = 0
    message: str = ''
