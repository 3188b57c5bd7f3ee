"""Tasks that are to run and have no run that their worker has confirmed."""

from enum import Enum

from attrs import define

from hornbeamstair_core.ids import ServiceName, TaskId, WorkerId

__all__ = ('RestingReason', 'RestingTask')


class RestingReason(Enum):
    """Reason why a task has no run that its worker has confirmed."""

    # Workers went down under the task, and it is not started for a while.
    paused = 'paused'
    # Ready, and not placed yet.
    unplaced = 'unplaced'
    # Only workers that the leader does not use have enough free resources.
    unusable_workers = 'unusable_workers'
    # Ready according to the tables, and missing among the waiting tasks.
    unindexed = 'unindexed'
    # A start or end of the task is being recorded.
    record = 'record'
    # The run is in one of these states.
    inherited = 'inherited'
    recorded = 'recorded'
    ordered = 'ordered'
    unanswered = 'unanswered'
    stopping = 'stopping'
    # The start may have been answered by an incarnation that is not known.
    doubted = 'doubted'
    # The worker of the run does not answer polls.
    silent = 'silent'
    # A previous leader recorded the run on a worker that is not known.
    unknown_worker = 'unknown_worker'
    # The tables name a worker, and the leader expects no such run there.
    untracked = 'untracked'


@define(eq=False)
class RestingTask:
    """Task that is to run and has no run that its worker has confirmed."""

    task: TaskId
    reason: RestingReason
    # Worker of the last run; empty for a task that waits.
    worker: WorkerId
    service: ServiceName
