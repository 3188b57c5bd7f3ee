"""Hosts as the platform lists them, waves and their records."""

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
    'MaintenanceBegun',
    'MaintenanceDone',
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
    """ListedHost of a pool and the worker that runs on it."""

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
    holder: str
    fencing_token: int


class HostOutcome(Enum):
    """What became of an order about a host."""

    done = 'done'
    # A newer holder has given orders about the host.
    fenced = 'fenced'
    # The host is not up, or leaves.
    busy = 'busy'
    # No such host, or not one of the wave or of such a pool.
    refused = 'refused'
    # Too many orders at a time: nothing was done.
    throttled = 'throttled'
    # It may have been carried out, or may be later.
    unknown = 'unknown'


@frozen
class Wave:
    """Hosts that are due for maintenance until a deadline."""

    number: int
    hosts: tuple[HostId, ...]
    # Wall-clock seconds.
    declared_at: float
    deadline: float
    max_down: int


@frozen
class WaveDeclared(Record):
    """Wave that its operator may rely on."""

    kind: ClassVar[str] = 'wave_declared'

    wave: Wave


@frozen
class MaintenanceBegun(Record):
    """ListedHost that is about to be told to go down."""

    kind: ClassVar[str] = 'maintenance_begun'

    wave: int
    host: HostId
    worker: WorkerId


@frozen
class MaintenanceDone(Record):
    """ListedHost whose maintenance began, is over, or cannot be had."""

    kind: ClassVar[str] = 'maintenance_done'

    wave: int
    host: HostId
    # The platform took the order; the host is down from then on.
    is_taken: bool
    # The host is up again, or is gone.
    is_over: bool
