"""Events of hosts, pools and waves."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'HostEntryRefusedEvent',
    'HostListEvent',
    'HostOrderedEvent',
    'PoolCapacityEvent',
    'WaveDeclaredEvent',
)


@register_event
@frozen
class WaveDeclaredEvent(Event):
    """The record of a declared wave was committed."""

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
    """An order about a host was sent to the platform."""

    number = 6002
    name = 'host_ordered'
    summary = 'An order to maintain or move a host was sent.'

    host: str
    worker: str
    order: str
    outcome: str
    fencing_token: int
    # Hosts that may be down for the wave, or moves in progress.
    down: int


@register_event
@frozen
class HostListEvent(Event):
    """The list of hosts became available or unavailable."""

    number = 6003
    name = 'host_list'
    summary = 'The list of hosts became available or unavailable.'
    level = EventLevel.warning

    is_known: bool
    hosts: int


@register_event
@frozen
class PoolCapacityEvent(Event):
    """Capacity of a pool and the work that waits for it."""

    number = 6004
    name = 'pool_room'
    summary = 'Total and free capacity of a pool, and its waiting work.'

    pool: str
    # Hosts of the pool that are up, those of them without runs, and hosts that
    # are moving to the pool.
    hosts: int
    idle: int
    coming: int
    # Thousandths of a core: capacity of the workers that accept runs, the free
    # part of it, and the forecast requirement.
    room: int
    free: int
    needed: int
    waiting_tasks: int
    oldest_wait_ms: int
    # Hosts that get no new runs, since another pool lacks them.
    draining: int
    # Time until the next turn of the demand; None if none is expected.
    turn_in_ms: int | None


@register_event
@frozen
class HostEntryRefusedEvent(Event):
    """Unreadable entry of the list of hosts."""

    number = 6005
    name = 'host_entry_refused'
    summary = 'An unreadable entry of the list of hosts was skipped.'
    level = EventLevel.warning

    reason: str
