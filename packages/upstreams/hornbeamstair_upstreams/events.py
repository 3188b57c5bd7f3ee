"""Events of upstreams."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'UpstreamEjectedEvent',
    'UpstreamJoinedEvent',
    'UpstreamLapsedEvent',
    'UpstreamLeftEvent',
    'UpstreamReinstatedEvent',
)


@register_event
@frozen
class UpstreamJoinedEvent(Event):
    """Upstream that registered."""

    number = 3001
    name = 'upstream_joined'
    summary = 'An upstream was taken into service.'

    upstream: str
    service: str
    slots: int


@register_event
@frozen
class UpstreamLeftEvent(Event):
    """Upstream that announced its departure."""

    number = 3002
    name = 'upstream_left'
    summary = 'An upstream left; it receives no new calls.'

    upstream: str


@register_event
@frozen
class UpstreamLapsedEvent(Event):
    """Upstream whose lease expired."""

    number = 3003
    name = 'upstream_lapsed'
    summary = (
        'An upstream restarted or its lease expired; this incarnation '
        'receives no new calls.'
    )
    level = EventLevel.warning

    upstream: str


@register_event
@frozen
class UpstreamEjectedEvent(Event):
    """Upstream that was ejected for its failures."""

    number = 3004
    name = 'upstream_ejected'
    summary = (
        'An upstream failed far more often than the others and was ejected.'
    )
    level = EventLevel.warning

    upstream: str
    failure_share: float
    seconds: float


@register_event
@frozen
class UpstreamReinstatedEvent(Event):
    """Upstream that receives calls again after an ejection."""

    number = 3005
    name = 'upstream_reinstated'
    summary = 'An ejected upstream receives calls again.'

    upstream: str
