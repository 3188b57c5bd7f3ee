"""Sample manifest and workers of a large fleet for benchmarks."""

from typing import Final

from hornbeamstair_core.ids import (
    QueueName,
    RackName,
    ServiceName,
    WorkerId,
    ZoneName,
)
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    Queue,
    WorkService,
)
from hornbeamstair_upstreams.work.messages import (
    Resources,
    WorkerAnnouncement,
)

__all__ = (
    'SERVICE_COUNT',
    'get_queue',
    'get_service',
    'make_manifest',
    'make_worker_announcement',
)

SERVICE_COUNT: Final = 5
_RACK_SIZE: Final = 20


def make_manifest() -> Manifest:
    """Make a manifest with one queue for each service."""
    numbers = range(SERVICE_COUNT)
    queues = tuple(
        Queue(
            queue=get_queue(number),
            host='host',
            path_prefix=f'/{number}/',
            service=get_service(number),
            call_timeout=3,
            priority=0,
            max_attempts=3,
            stretch=2,
            target_seconds=1,
        )
        for number in numbers
    )
    services = tuple(
        WorkService(get_service(number), guards_room=False, is_standby=False)
        for number in numbers
    )
    return Manifest(1, queues, services, b'{}')


def make_worker_announcement(number: int) -> WorkerAnnouncement:
    """Make the announcement of a worker."""
    rack = f'r{number // _RACK_SIZE}'
    return WorkerAnnouncement(
        worker=WorkerId(f'w{number}'),
        service=get_service(number % SERVICE_COUNT),
        address='127.0.0.1',
        port=number + 1,
        zone=ZoneName('a'),
        room=Resources(64000, 131072),
        labels=('a', rack),
        rack=RackName(rack),
        incarnation=1,
        sequence=1,
        is_leaving=False,
    )


def get_queue(number: int) -> QueueName:
    """Get the queue of a service."""
    return QueueName(f'queue-{number}')


def get_service(number: int) -> ServiceName:
    """Get a service."""
    return ServiceName(f'service-{number}')
