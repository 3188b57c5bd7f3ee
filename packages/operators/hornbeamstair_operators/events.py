"""Events of the operators' changes."""

from attrs import frozen

from hornbeamstair_core.events import Event, register_event

__all__ = ('ManifestPutEvent',)


@register_event
@frozen
class ManifestPutEvent(Event):
    """Manifest whose record is committed."""

    number = 4001
    name = 'manifest_put'
    summary = 'A manifest was committed; the highest version is in force.'

    version: int
    queues: int
    version_in_force: int
