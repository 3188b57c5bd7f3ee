"""Log events of jobs, workers and the scheduler."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'HolderChangedEvent',
    'JobAcceptedEvent',
    'JobEndedEvent',
    'JobGivenUpEvent',
    'PlacementLoadEvent',
    'RecordsWaitingEvent',
    'RequestRefusedEvent',
    'SilenceExplainedEvent',
    'StartsUnconfirmedEvent',
    'TasksOverdueEvent',
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
    # Workspace of the caller; empty for a call to an open queue.
    workspace: str = ''


@register_event
@frozen
class JobEndedEvent(Event):
    """Job that has ended."""

    number = 2002
    name = 'job_ended'
    summary = 'A job was completed, has failed or was cancelled.'

    job: str
    state: str
    # Time since the acceptance, as are the next two.
    age_ms: int
    # Until the first recorded start; None if this leader recorded none.
    begun_ms: int | None
    # Until the objective, which follows from the estimates of the job; None
    # for long-running jobs and unknown queues.
    objective_ms: int | None


@register_event
@frozen
class WorkerBelievedEvent(Event):
    """Worker whose observed state has changed."""

    number = 2005
    name = 'worker_believed'
    summary = 'A worker is up, leaving, gone, silent, or answering again.'

    worker: str
    service: str
    # Observed state: up, leaving, gone, silent or answering.
    belief: str
    incarnation: int


@register_event
@frozen
class WorkerQuarantinedEvent(Event):
    """Worker that is excluded from placement for a while."""

    number = 2006
    name = 'worker_quarantined'
    summary = (
        'Runs fail or do not start on a worker; it gets no work for a while.'
    )
    level = EventLevel.warning

    worker: str
    reason: str


@register_event
@frozen
class HolderChangedEvent(Event):
    """Process that started or stopped scheduling as the leader."""

    number = 2007
    name = 'holder_changed'
    summary = 'This process started or stopped scheduling runs on the workers.'

    fencing_token: int
    # Whether this process schedules from now on.
    holds: bool
    workers: int
    open_jobs: int


@register_event
@frozen
class RequestRefusedEvent(Event):
    """Request that was refused or whose outcome is unknown."""

    number = 2008
    name = 'request_refused'
    summary = 'A request about a job was refused or its outcome is unknown.'

    request: str
    subject: str
    code: int
    reason: str


@register_event
@frozen
class WorkWaitingEvent(Event):
    """Tasks that wait for free resources, by service."""

    number = 2009
    name = 'work_waiting'
    summary = 'Tasks wait; lists services, their workers and free resources.'

    services: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class PlacementLoadEvent(Event):
    """Placement passes of about one second."""

    number = 2010
    name = 'placement_load'
    summary = 'Number and time of the placement passes, and what they examined.'

    passes: int
    spent_ms: int
    # Phases to be placed, workers examined for them, and runs placed.
    asked: int
    examined: int
    placed: int
    span_ms: int


@register_event
@frozen
class StartsUnconfirmedEvent(Event):
    """Runs that no worker has confirmed for a long time."""

    number = 2014
    name = 'starts_unconfirmed'
    summary = 'Starts are neither confirmed nor refused; lists the oldest.'
    level = EventLevel.warning

    fencing_token: int
    count: int
    runs: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class RecordsWaitingEvent(Event):
    """Decisions of the leader that have not been committed for a long time."""

    number = 2016
    name = 'records_waiting'
    summary = 'Records of starts and ends are not committed; lists the oldest.'
    level = EventLevel.warning

    fencing_token: int
    count: int
    oldest_ms: int
    tasks: tuple[str, ...]
    # Workers that are not polled until the ends that they listed are recorded.
    unpolled: tuple[str, ...]


@register_event
@frozen
class SilenceExplainedEvent(Event):
    """Worker that was silent until the leases of its runs had expired."""

    number = 2017
    name = 'silence_explained'
    summary = 'It became known what had become of a silent worker.'

    worker: str
    incarnation: int
    # The kind of the record: worker_died or worker_survived.
    verdict: str


@register_event
@frozen
class JobGivenUpEvent(Event):
    """Job with a task that keeps crashing its workers."""

    number = 2015
    name = 'job_given_up'
    summary = 'A job fails, since its workers keep going down under a task.'
    level = EventLevel.warning

    job: str
    task: str
    # Oldest first, confirmed or not.
    crashes: tuple[Mapping[str, Any], ...]


@register_event
@frozen
class TasksOverdueEvent(Event):
    """Tasks that are to run and have not for longer than callers are told."""

    number = 2019
    name = 'tasks_overdue'
    summary = 'Tasks do not run though there are resources; lists the oldest.'
    level = EventLevel.warning

    fencing_token: int
    count: int
    # Since the last run ended, or since this leader knows of the task.
    oldest_ms: int
    reasons: Mapping[str, int]
    tasks: tuple[Mapping[str, Any], ...]
    # Workers of the services that the leader does not use, by the reason.
    unusable: Mapping[str, int]
