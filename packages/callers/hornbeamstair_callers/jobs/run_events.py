"""Log events about runs."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = ('RunsEndedEvent', 'RunsPlacedEvent', 'RunsOrphanedEvent')


@register_event
@frozen
class RunsPlacedEvent(Event):
    """Runs that were placed on workers and are being committed."""

    number = 2003
    name = 'runs_placed'
    summary = 'Tasks were placed on workers.'

    fencing_token: int
    runs: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class RunsEndedEvent(Event):
    """Runs that ended by the report of a worker or an expired lease."""

    number = 2004
    name = 'runs_ended'
    summary = 'Runs ended, or their leases expired, or their workers are gone.'

    fencing_token: int
    runs: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class RunsOrphanedEvent(Event):
    """Runs that a worker has listed and that were not expected on it."""

    number = 2018
    name = 'runs_orphaned'
    summary = 'A worker runs, or has ended, runs that were not expected on it.'
    level = EventLevel.warning

    fencing_token: int
    worker: str
    incarnation: int
    # Each with the current run of its task and the worker of that run.
    runs: tuple[Mapping[str, Any], ...]
