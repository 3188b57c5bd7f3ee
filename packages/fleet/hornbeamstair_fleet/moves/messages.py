"""Moves of hosts and their records."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.records import Record

__all__ = ('Move', 'MoveBegun', 'MoveEnded', 'PoolDemand')


@frozen
class Move:
    """ListedHost that goes to another pool, and where it was first."""

    host: HostId
    home: PoolName
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
    # Processor that waiting tasks ask for at once.
    waiting: int
    # Seconds that the pool needs for what waits, as it is now.
    drain_seconds: float
    # Processor that is free on workers that may get work.
    free: int
    # Processor of all workers that may get work.
    room: int
    # Processor that the work of the last arrivals keeps busy.
    arriving: int
