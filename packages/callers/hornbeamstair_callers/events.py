"""Events about calls."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = ('KeyOutcomeLostEvent',)


@register_event
@frozen
class KeyOutcomeLostEvent(Event):
    """The outcome of a call with an idempotency key was not committed."""

    number = 2011
    name = 'key_outcome_lost'
    summary = 'The outcome of a keyed call could not be recorded.'
    level = EventLevel.warning

    key: str
    record: str
    reason: str
