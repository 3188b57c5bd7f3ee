"""Log events of waits for a better place."""

from attrs import frozen

from hornbeamstair_core.events import Event, register_event

__all__ = ('PlacesEvent',)


@register_event
@frozen
class PlacesEvent(Event):
    """Places of the tasks that prefer a rack, since the last such event."""

    number = 2070
    name = 'places'
    summary = 'Tasks were placed near or away, or wait for a rack.'

    # Runs on the rack of their data or group, and elsewhere.
    near: int
    away: int
    # Phases that began to wait.
    waits_begun: int
    # Tasks of phases that have waited: those that got the rack, those that were
    # given up, and of the latter those for which no room was expected in time.
    rewarded: int
    given_up: int
    vain: int
    # Total of the waits of these tasks.
    waited_ms: int
