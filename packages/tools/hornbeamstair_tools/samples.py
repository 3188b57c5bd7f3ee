"""Sample messages and state for benchmarks and tests."""

from random import Random

from hornbeamstair_callers.dispatcher import Dispatcher
from hornbeamstair_core.ids import (
    CustomerId,
    RequestId,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from hornbeamstair_operators.changes.base import ChangeRequest
from hornbeamstair_operators.changes.contract import ApplyContractChange
from hornbeamstair_operators.limits import derive_limits
from hornbeamstair_operators.messages import (
    Contract,
    ServicePromise,
    Urgency,
)
from hornbeamstair_upstreams.choosers.base import UpstreamChooser
from hornbeamstair_upstreams.choosers.two_choices import TwoChoicesChooser
from hornbeamstair_upstreams.directory import UpstreamDirectory
from hornbeamstair_upstreams.messages import Announcement

__all__ = (
    'make_announcement',
    'make_change',
    'make_contract',
    'make_directory',
    'make_dispatcher',
)

_SERVICES = ('booking', 'sharpening', 'fees', 'routes', 'administration')


def make_contract(number: int) -> Contract:
    """Return the contract of customer `number`, with five services."""
    return Contract(
        customer=CustomerId(f'customer-{number}'),
        home_zone=ZoneName('muscat'),
        availability=0.99,
        window_days=30,
        planned_share=0.5,
        services=tuple(
            ServicePromise(
                service=ServiceName(service),
                concurrency=8,
                rate=1000,
                burst_multiple=5,
                burst_seconds=4,
                urgency=Urgency.urgent,
                start_within=1.7,
                idempotent=False,
            )
            for service in _SERVICES
        ),
    )


def make_change(number: int, customers: int) -> ChangeRequest:
    """Return change `number`, which applies the contract of a customer."""
    contract = make_contract(number % customers)
    return ChangeRequest(
        RequestId(f'request-{number}'),
        None,
        ApplyContractChange(contract),
    )


def make_announcement(number: int, service: str = 'fees') -> Announcement:
    """Return the announcement of upstream `number` of a service."""
    return Announcement(
        upstream=UpstreamId(f'{service}-{number}'),
        service=ServiceName(service),
        zone=ZoneName('muscat'),
        address='127.0.0.1',
        port=8000,
        slots=8,
        connections=64,
        incarnation=1,
    )


def make_directory(upstreams: int) -> UpstreamDirectory:
    """Return a directory that holds upstreams of one service."""
    directory = UpstreamDirectory()
    for number in range(upstreams):
        directory.announce(make_announcement(number), 0)
    return directory


def make_dispatcher(
    upstreams: int,
    customers: int,
    chooser: UpstreamChooser | None = None,
) -> Dispatcher:
    """Return a dispatcher for upstreams of one service and some customers."""
    dispatcher = Dispatcher(
        make_directory(upstreams),
        chooser or TwoChoicesChooser(),
        Random(1),
    )
    limits = [
        limit
        for number in range(customers)
        for limit in derive_limits(make_contract(number))
    ]
    dispatcher.set_limits(limits, 0)
    return dispatcher
