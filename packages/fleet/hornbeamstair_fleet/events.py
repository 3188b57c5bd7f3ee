"""Events of hosts and waves."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'HostListEvent',
    'HostOrderedEvent',
    'PoolRoomEvent',
    'WaveDeclaredEvent',
)


@register_event
@frozen
class WaveDeclaredEvent(Event):
    """Wave whose record is committed."""

    number = 6001
    name = 'wave_declared'
    summary = 'A maintenance wave was declared.'

    wave: int
    hosts: int
    max_down: int
    deadline_seconds: float


@register_event
@frozen
class HostOrderedEvent(Event):
    """Order about a host and what became of it."""

    number = 6002
    name = 'host_ordered'
    summary = 'The platform was told to maintain or move a host.'

    host: str
    worker: str
    order: str
    outcome: str
    fencing_token: int
    down: int


@register_event
@frozen
class HostListEvent(Event):
    """Platform that began or ceased to list its hosts."""

    number = 6003
    name = 'host_list'
    summary = 'The list of hosts can be had, or cannot be had any more.'
    level = EventLevel.warning

    is_known: bool
    hosts: int


@register_event
@frozen
class PoolRoomEvent(Event):
    """Room of a pool and the work that asks for it."""

    number = 6004
    name = 'pool_room'
    summary = 'How much room a pool has, how much is free, and what waits.'

    pool: str
    # Hosts that are listed as up, those of them that run nothing, and those
    # that are on their way.
    hosts: int
    idle: int
    coming: int
    # Thousandths of a core: what workers that may get work offer, what of it
    # is free, and what is expected to be needed.
    room: int
    free: int
    needed: int
    waiting_tasks: int
    oldest_wait_ms: int
