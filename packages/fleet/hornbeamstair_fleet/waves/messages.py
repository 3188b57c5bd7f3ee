"""Listed hosts, orders about hosts, waves and their records."""

from enum import Enum
from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId, ZoneName
from hornbeamstair_core.records import Record

__all__ = (
    'ListedHost',
    'HostOrder',
    'HostOutcome',
    'HostState',
    'MaintenanceStarted',
    'MaintenanceUpdated',
    'Wave',
    'WaveDeclared',
)


class HostState(Enum):
    """State of a host as the platform lists it."""

    up = 'up'
    moving = 'moving'
    maintenance = 'maintenance'
    down = 'down'


@frozen
class ListedHost:
    """Host as listed by the platform, with its pool and worker."""

    host: HostId
    pool: PoolName
    state: HostState
    zone: ZoneName
    rack: str
    worker: WorkerId


@frozen
class HostOrder:
    """Order to the platform about one host."""

    host: HostId
    # Name of the leader that sends the order.
    holder: str
    fencing_token: int
    # Time in seconds on the clock of this process after which the order must
    # not be sent.
    valid_until: float


class HostOutcome(Enum):
    """Outcome of an order about a host."""

    done = 'done'
    # The platform has seen a newer fencing token for the host.
    fenced = 'fenced'
    # The host is not up, or is leaving.
    busy = 'busy'
    # The host is unknown, not part of the wave, or unfit for the pool.
    refused = 'refused'
    # Too many concurrent orders; nothing was done.
    throttled = 'throttled'
    # The order may have been executed, or may be later.
    unknown = 'unknown'


@frozen
class Wave:
    """Hosts to be maintained before a deadline."""

    number: int
    hosts: tuple[HostId, ...]
    # Seconds of the wall clock.
    declared_at: float
    deadline: float
    max_down: int


@frozen
class WaveDeclared(Record):
    """Record of a declared wave, which is not lost once committed."""

    kind: ClassVar[str] = 'wave_declared'

    wave: Wave


@frozen
class MaintenanceStarted(Record):
    """Record that a maintenance starts, committed before the order is sent."""

    kind: ClassVar[str] = 'maintenance_begun'

    wave: int
    host: HostId
    worker: WorkerId


@frozen
class MaintenanceUpdated(Record):
    """Record of an order's outcome or of a finished maintenance."""

    kind: ClassVar[str] = 'maintenance_done'

    wave: int
    host: HostId
    # The platform accepted the order; the host is down from then on.
    is_taken: bool
    # The host is up again or no longer exists.
    is_over: bool
