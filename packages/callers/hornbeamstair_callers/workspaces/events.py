"""Events of workspaces."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from hornbeamstair_core.events import Event, register_event

__all__ = ('JobsRefusedEvent', 'WorkspacesWaitingEvent')


@register_event
@frozen
class WorkspacesWaitingEvent(Event):
    """Workspaces with waiting work, and how their limits and shares bind."""

    number = 2060
    name = 'workspaces_waiting'
    summary = 'Workspaces have waiting work; lists those that run the most.'

    count: int
    # Workspaces whose limit holds tasks back.
    held: int
    # Waiting jobs beyond the promised rates.
    beyond_jobs: int
    workspaces: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class JobsRefusedEvent(Event):
    """Refusals of jobs since the last event, over all workspaces."""

    number = 2061
    name = 'jobs_refused'
    summary = 'Jobs were refused; counts them by cause.'

    causes: Mapping[str, int]
