"""Order in which jobs get room on the workers."""

from abc import ABC, abstractmethod
from math import inf
from typing import ClassVar, Final

from attrs import frozen

from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_operators.manifest.messages import Queue

__all__ = (
    'JobOrder',
    'ObjectiveOrder',
    'get_chain_seconds',
    'get_objective',
    'get_rest_seconds',
)

# Estimates are rough; a job is given up while this share is still missing.
_MARGIN_SHARE: Final = 0.1


@frozen
class JobOrder(ABC):
    """Policy that says which job comes first."""

    name: ClassVar[str]

    @abstractmethod
    def get_key(
        self,
        job: Job,
        queue: Queue,
        wall: float,
    ) -> tuple[float, ...]:
        """Get a sort key at a wall-clock time; the lowest comes first."""

    @abstractmethod
    def get_change(self, job: Job, queue: Queue, wall: float) -> float:
        """Get the time after which the sort key changes by itself."""

    @abstractmethod
    def is_hopeless(self, job: Job, queue: Queue, wall: float) -> bool:
        """Tell whether a job can no longer meet its objective."""


@frozen
class ObjectiveOrder(JobOrder):
    """Lasting jobs first, then those that can still meet their objective.

    Answers a burst that asks for more than the pool holds: a job that can
    no longer be done in time yields to one that still can.
    """

    name: ClassVar[str] = 'objective'

    def get_key(
        self,
        job: Job,
        queue: Queue,
        wall: float,
    ) -> tuple[float, ...]:
        """Get the key by priority, objective and arrival."""
        if job.spec.lasts:
            return (0, queue.priority, job.accepted_at)
        return (
            1 + self.is_hopeless(job, queue, wall),
            queue.priority,
            _get_due(job),
        )

    def get_change(self, job: Job, queue: Queue, wall: float) -> float:
        """Get the time after which the job is hopeless."""
        if job.spec.lasts:
            return inf
        latest = _get_latest(job, queue)
        return inf if wall > latest else latest

    def is_hopeless(self, job: Job, queue: Queue, wall: float) -> bool:
        """Compare the estimates of what is left with the objective."""
        return not job.spec.lasts and wall > _get_latest(job, queue)


def get_chain_seconds(spec: JobSpec) -> float:
    """Get the longest chain of work of a job, by its own estimates."""
    ends: list[float] = []
    for phase in spec.phases:
        before = max((ends[number] for number in phase.after), default=0)
        ends.append(before + phase.needs.estimate_seconds)
    return max(ends, default=0)


def get_rest_seconds(job: Job) -> float:
    """Get the longest chain of the phases that are not done.

    For a job with several occurrences it is that of the first.
    """
    ends: list[float] = []
    for number, phase in enumerate(job.spec.phases):
        before = max((ends[found] for found in phase.after), default=0)
        own = phase.needs.estimate_seconds
        ends.append(before + own * (not job.is_phase_done(0, number)))
    return max(ends, default=0)


def get_objective(job: Job, queue: Queue) -> float:
    """Get the wall-clock time by which a job is to be done."""
    chain = get_chain_seconds(job.spec)
    return _get_due(job) + chain * queue.stretch + queue.target_seconds


def _get_due(job: Job) -> float:
    """Get the wall-clock time from which the objective of a job counts."""
    return max(job.accepted_at, job.spec.get_due(0))


def _get_latest(job: Job, queue: Queue) -> float:
    """Get the time by which a job must go on to meet its objective."""
    objective = get_objective(job, queue)
    return objective - get_rest_seconds(job) * (1 + _MARGIN_SHARE)
