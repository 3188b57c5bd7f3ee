"""Events of jobs and of the runs of their tasks."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'HolderChangedEvent',
    'JobAcceptedEvent',
    'JobEndedEvent',
    'PlacementLoadEvent',
    'RequestRefusedEvent',
    'RunsEndedEvent',
    'RunsPlacedEvent',
    'WorkWaitingEvent',
    'WorkerBelievedEvent',
    'WorkerQuarantinedEvent',
)


@register_event
@frozen
class JobAcceptedEvent(Event):
    """Job whose record is committed."""

    number = 2001
    name = 'job_accepted'
    summary = 'A job was accepted and its record is committed.'

    job: str
    queue: str
    service: str
    tasks: int
    manifest_version: int
    commit_ms: int


@register_event
@frozen
class JobEndedEvent(Event):
    """Job that will not run any more."""

    number = 2002
    name = 'job_ended'
    summary = 'A job was completed, has failed or was cancelled.'

    job: str
    state: str
    # Since the acceptance, as are the next two.
    age_ms: int
    # Until the record of the first start; None if this holder saw none.
    begun_ms: int | None
    # Until the job was to be done, by its estimates.
    objective_ms: int | None


@register_event
@frozen
class RunsPlacedEvent(Event):
    """Runs that were placed on workers and are being recorded."""

    number = 2003
    name = 'runs_placed'
    summary = 'Tasks were placed on workers.'

    fencing_token: int
    runs: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class RunsEndedEvent(Event):
    """Runs that ended, as workers listed them or as their leases prove."""

    number = 2004
    name = 'runs_ended'
    summary = 'Runs ended, or their leases or workers are gone.'

    fencing_token: int
    runs: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class WorkerBelievedEvent(Event):
    """Worker of which something new is believed."""

    number = 2005
    name = 'worker_believed'
    summary = 'A worker is up, leaving, gone, or reached again.'

    worker: str
    service: str
    belief: str
    incarnation: int


@register_event
@frozen
class WorkerQuarantinedEvent(Event):
    """Worker that gets no work for a while."""

    number = 2006
    name = 'worker_quarantined'
    summary = 'A worker fails what it is given and gets no work for a while.'
    level = EventLevel.warning

    worker: str
    reason: str


@register_event
@frozen
class HolderChangedEvent(Event):
    """Process that began or ceased to give orders to workers."""

    number = 2007
    name = 'holder_changed'
    summary = 'This process began or ceased to give orders to workers.'

    fencing_token: int
    holds: bool
    workers: int
    open_jobs: int


@register_event
@frozen
class RequestRefusedEvent(Event):
    """Request that was refused or has no sure outcome."""

    number = 2008
    name = 'request_refused'
    summary = 'A request about a job was refused or has no sure outcome.'

    request: str
    subject: str
    code: int
    reason: str


@register_event
@frozen
class WorkWaitingEvent(Event):
    """Tasks that wait for room, by service."""

    number = 2009
    name = 'work_waiting'
    summary = 'Tasks wait; the services, their workers and free room.'

    services: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class PlacementLoadEvent(Event):
    """Passes of the placement in about a second."""

    number = 2010
    name = 'placement_load'
    summary = 'Passes of the placement, their time, and what they looked at.'

    passes: int
    spent_ms: int
    # Phases that asked for room, workers examined for them, runs placed.
    asked: int
    examined: int
    placed: int
    span_ms: int
