"""Events about relays."""

from collections.abc import Mapping, Sequence

from attrs import frozen

from hornbeamstair_core.events import Event, register_event
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId

__all__ = ('RelaysChangedEvent',)


@register_event
@frozen
class RelaysChangedEvent(Event):
    """Relays that the leader uses from now on."""

    number = 2012
    name = 'relays_changed'
    summary = 'The processes that send orders for this leader changed.'

    # Relays by zone; orders to other zones are sent by the leader.
    relays: Mapping[ZoneName, Sequence[VoterId]]
    # Orders whose answers are awaited from relays.
    pending: int
