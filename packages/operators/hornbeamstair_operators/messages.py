"""Contracts and answers to changes."""

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
    """Promise of a contract for one service.

    `rate` is in calls a second, `start_within` in seconds. `burst_multiple`
    scales the concurrency and, for `burst_seconds`, the rate.
    """

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
    """Contract with one customer.

    `planned_share` is the share of the allowed unavailability that planned
    work may use.
    """

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
    """Answer to a change; each resend of the request gets the same one."""

    request_id: RequestId
    accepted: bool
    revision: int
    code: int = 0
    message: str = ''
