"""Order in which jobs get room on the workers."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import frozen

from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_operators.manifest.messages import Queue

__all__ = ('JobOrder', 'ObjectiveOrder', 'get_chain_seconds')


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


@frozen
class ObjectiveOrder(JobOrder):
    """Lasting jobs first, then those that can still meet their objective.

    Answers a burst that asks for more than the pool holds: a job whose
    objective has passed yields to one that can still meet its own.
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
        chain = get_chain_seconds(job.spec)
        due = max(job.accepted_at, job.spec.get_due(0))
        objective = due + chain * queue.stretch + queue.target_seconds
        is_hopeless = wall > objective
        return (1 + is_hopeless, queue.priority, due)


def get_chain_seconds(spec: JobSpec) -> float:
    """Get the longest chain of work of a job, by its own estimates."""
    ends: list[float] = []
    for phase in spec.phases:
        before = max((ends[number] for number in phase.after), default=0)
        ends.append(before + phase.needs.estimate_seconds)
    return max(ends, default=0)
