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
    """Daemon that serves its peers."""

    number = 7001
    name = 'daemon_started'
    summary = 'The daemon serves its peers.'

    process: str
    zone: str
    revision: int


@register_event
@frozen
class DaemonStoppingEvent(Event):
    """Daemon that begins a planned stop."""

    number = 7002
    name = 'daemon_stopping'
    summary = 'The daemon is no longer ready and finishes its requests.'

    balancer_seconds: float


@register_event
@frozen
class DaemonStoppedEvent(Event):
    """Daemon that ended a planned stop."""

    number = 7003
    name = 'daemon_stopped'
    summary = 'The daemon finished its requests and stopped.'

    process: str


@register_event
@frozen
class DaemonFailedEvent(Event):
    """Daemon that cannot go on."""

    number = 7004
    name = 'daemon_failed'
    summary = 'The daemon cannot go on and exits with an error.'
    level = EventLevel.error

    reason: str


@register_event
@frozen
class SettingsReloadedEvent(Event):
    """Settings that were read again."""

    number = 7005
    name = 'settings_reloaded'
    summary = 'The settings were read again; a refused file changes nothing.'

    refusal: str
