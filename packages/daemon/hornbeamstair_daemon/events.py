"""Events of the daemon."""

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'DaemonFailedEvent',
    'DaemonStartedEvent',
    'DaemonStoppedEvent',
    'DaemonStoppingEvent',
    'SettingsReloadedEvent',
)


@register_event
@frozen
class DaemonStartedEvent(Event):
    """Start of the daemon."""

    number = 7001
    name = 'daemon_started'
    summary = 'The daemon started to serve its peers.'

    process: str
    zone: str
    revision: int


@register_event
@frozen
class DaemonStoppingEvent(Event):
    """Start of a graceful stop."""

    number = 7002
    name = 'daemon_stopping'
    summary = 'The daemon is no longer ready and finishes requests in progress.'

    balancer_seconds: float


@register_event
@frozen
class DaemonStoppedEvent(Event):
    """End of a graceful stop."""

    number = 7003
    name = 'daemon_stopped'
    summary = 'The daemon finished the requests in progress and stopped.'

    process: str


@register_event
@frozen
class DaemonFailedEvent(Event):
    """Fatal error of the daemon."""

    number = 7004
    name = 'daemon_failed'
    summary = 'The daemon exits because of a fatal error.'
    level = EventLevel.error

    reason: str


@register_event
@frozen
class SettingsReloadedEvent(Event):
    """Reload of the settings."""

    number = 7005
    name = 'settings_reloaded'
    summary = 'The settings were reloaded, or refused and left unchanged.'

    # Empty if the new settings are in force.
    refusal: str
