"""Moves of hosts, their records, and the demand of a pool."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.records import Record

__all__ = ('Move', 'MoveStarted', 'MoveFinished', 'PoolDemand')


@frozen
class Move:
    """Move of a host from one pool to another."""

    host: HostId
    origin: PoolName
    pool: PoolName
    # Worker of the host before the move; empty if the host was switched off.
    worker: WorkerId


@frozen
class MoveStarted(Record):
    """Record that a move starts, committed before the order is sent."""

    kind: ClassVar[str] = 'move_begun'

    move: Move


@frozen
class MoveFinished(Record):
    """Record that a move finished or was not accepted by the platform."""

    kind: ClassVar[str] = 'move_ended'

    host: HostId


@frozen
class PoolDemand:
    """CPU demand and capacity of a pool, in thousandths of a core."""

    pool: PoolName
    is_standby: bool
    # CPU that finite runs use or waiting tasks could use.
    usable: int
    # Largest share of `usable` that belongs to one job.
    largest: int
    # CPU of the workers that accept runs, less that of long-running runs.
    capacity: int
    # CPU of one host.
    host_capacity: int
    # Long-running tasks that no worker of the pool can take.
    unplaced: int
    # Unallocated CPU of the workers that accept runs.
    free: int = 0
    waiting_tasks: int = 0
    # Seconds since the oldest waiting job was accepted.
    oldest_wait: float = 0
    # Work of the waiting tasks that can still be done in time, in thousandths
    # of a core-second.
    waiting_work: float = 0
    # Part of `usable` that belongs to waiting jobs that are late.
    late: int = 0
