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
    """Upstream taken into service."""

    number = 3001
    name = 'upstream_joined'
    summary = 'An upstream was taken into service.'

    upstream: str
    service: str
    slots: int


@register_event
@frozen
class UpstreamLeftEvent(Event):
    """Upstream that said it leaves."""

    number = 3002
    name = 'upstream_left'
    summary = 'An upstream left; it receives no new calls.'

    upstream: str


@register_event
@frozen
class UpstreamLapsedEvent(Event):
    """Upstream whose lease ended without renewal."""

    number = 3003
    name = 'upstream_lapsed'
    summary = 'The lease of an upstream ended; it receives no new calls.'
    level = EventLevel.warning

    upstream: str


@register_event
@frozen
class UpstreamEjectedEvent(Event):
    """Upstream taken out of choice for its failures."""

    number = 3004
    name = 'upstream_ejected'
    summary = 'An upstream failed far more than its pool and was ejected.'
    level = EventLevel.warning

    upstream: str
    failure_share: float
    seconds: float


@register_event
@frozen
class UpstreamReinstatedEvent(Event):
    """Upstream that is chosen again after an ejection."""

    number = 3005
    name = 'upstream_reinstated'
    summary = 'An ejected upstream is chosen again.'

    upstream: str
