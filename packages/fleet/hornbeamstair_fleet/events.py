"""Events of hosts and waves."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'HostListEvent',
    'HostOrderedEvent',
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
