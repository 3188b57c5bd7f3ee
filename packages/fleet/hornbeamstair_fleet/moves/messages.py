"""Moves of hosts and their records."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.records import Record

__all__ = ('Move', 'MoveBegun', 'MoveEnded', 'PoolDemand')


@frozen
class Move:
    """Host that goes from one pool to another."""

    host: HostId
    origin: PoolName
    pool: PoolName
    # Worker of the host before the move; empty if it was switched off.
    worker: WorkerId


@frozen
class MoveBegun(Record):
    """ListedHost that is about to be told to move."""

    kind: ClassVar[str] = 'move_begun'

    move: Move


@frozen
class MoveEnded(Record):
    """Move that is over, or that the platform would not take."""

    kind: ClassVar[str] = 'move_ended'

    host: HostId


@frozen
class PoolDemand:
    """Work of a pool, in thousandths of a core."""

    pool: PoolName
    is_standby: bool
    # Processor that runs which end take, or that waiting tasks could use.
    usable: int
    # What one job has of that at the most.
    largest: int
    # Processor of the workers that may get work, less what lasts there.
    room: int
    # Processor of one host.
    host_room: int
    # Lasting tasks that no worker of the pool can take.
    homeless: int
    # Processor that is not taken of the workers that may get work.
    free: int = 0
    waiting_tasks: int = 0
    # Seconds since the first of the waiting jobs was accepted.
    oldest_wait: float = 0
