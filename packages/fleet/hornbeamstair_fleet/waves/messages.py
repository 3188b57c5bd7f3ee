"""Machines as the platform lists them, waves and their records."""

from enum import Enum
from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import MachineId, PoolName, WorkerId, ZoneName
from hornbeamstair_core.records import Record

__all__ = (
    'Machine',
    'MachineOrder',
    'MachineOutcome',
    'MachineState',
    'MaintenanceBegun',
    'MaintenanceDone',
    'Wave',
    'WaveDeclared',
)


class MachineState(Enum):
    """State of a machine as the platform lists it."""

    up = 'up'
    moving = 'moving'
    maintenance = 'maintenance'
    down = 'down'


@frozen
class Machine:
    """Machine of a pool and the worker that runs on it."""

    machine: MachineId
    pool: PoolName
    state: MachineState
    zone: ZoneName
    rack: str
    worker: WorkerId


@frozen
class MachineOrder:
    """Order to the platform about one machine."""

    machine: MachineId
    holder: str
    fencing_token: int


class MachineOutcome(Enum):
    """What became of an order about a machine."""

    done = 'done'
    # A newer holder has given orders about the machine.
    fenced = 'fenced'
    # The machine is not up, or leaves.
    busy = 'busy'
    # No such machine, or not one of the wave or of such a pool.
    refused = 'refused'
    # Too many orders at a time: nothing was done.
    throttled = 'throttled'
    # It may have been carried out, or may be later.
    unknown = 'unknown'


@frozen
class Wave:
    """Machines that are due for maintenance until a deadline."""

    number: int
    machines: tuple[MachineId, ...]
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
    """Machine that is about to be told to go down."""

    kind: ClassVar[str] = 'maintenance_begun'

    wave: int
    machine: MachineId
    worker: WorkerId


@frozen
class MaintenanceDone(Record):
    """Machine whose maintenance began, is over, or cannot be had."""

    kind: ClassVar[str] = 'maintenance_done'

    wave: int
    machine: MachineId
    # The platform took the order; the machine is down from then on.
    is_taken: bool
    # The machine is up again, or is gone.
    is_over: bool
