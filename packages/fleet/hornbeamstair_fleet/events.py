"""Events of machines and waves."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'MachineListEvent',
    'MachineOrderedEvent',
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
    machines: int
    max_down: int
    deadline_seconds: float


@register_event
@frozen
class MachineOrderedEvent(Event):
    """Order about a machine and what became of it."""

    number = 6002
    name = 'machine_ordered'
    summary = 'The platform was told to maintain or move a machine.'

    machine: str
    worker: str
    order: str
    outcome: str
    fencing_token: int
    down: int


@register_event
@frozen
class MachineListEvent(Event):
    """Platform that began or ceased to list its machines."""

    number = 6003
    name = 'machine_list'
    summary = 'The list of machines can be had, or cannot be had any more.'
    level = EventLevel.warning

    is_known: bool
    machines: int
