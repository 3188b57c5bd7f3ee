"""Ranking of the jobs that wait for placement."""

from abc import ABC, abstractmethod
from math import inf
from typing import ClassVar, Final

from attrs import frozen

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import JobSpec, JobState
from hornbeamstair_callers.jobs.run_times import RunTimes
from hornbeamstair_core.ids import QueueName
from hornbeamstair_operators.manifest.messages import Queue

__all__ = (
    'JobRankingPolicy',
    'ObjectiveRanking',
    'get_critical_path_seconds',
    'get_objective',
    'get_latest_resume_time',
    'get_release_time',
    'get_remaining_seconds',
)

# Estimates are rough: a job counts as late if its remaining work and this
# share of it do not fit before the objective.
_ESTIMATE_MARGIN_SHARE: Final = 0.1
# The same of a job without a started task, whose longest tasks decide. With
# less, a full pool starts each job at its last moment, and most are late by the
# spread of their run times.
_BEGIN_MARGIN_SHARE: Final = 0.4
# Class of long-running backfill: behind the other long-running jobs, whose
# workers it would take, and before all others.
_BACKFILL_CLASS: Final = 0.5


@frozen
class JobRankingPolicy(ABC):
    """Policy that decides which job is placed first."""

    name: ClassVar[str]

    @abstractmethod
    def get_key(
        self,
        job: Job,
        queue: Queue,
        wall: float,
    ) -> tuple[float, ...]:
        """Get the sort key at a wall-clock time; the lowest comes first."""

    @abstractmethod
    def get_key_expiry(self, job: Job, queue: Queue, wall: float) -> float:
        """Get the wall-clock time after which the sort key changes."""

    @abstractmethod
    def misses_objective(self, job: Job, queue: Queue, wall: float) -> bool:
        """Return whether a job can no longer meet its objective."""


@frozen
class ObjectiveRanking(JobRankingPolicy):
    """Long-running jobs first, then jobs that can still meet their objective.

    When a burst exceeds the capacity of the pool, jobs that are late in any
    case yield to jobs that can still be done in time.
    """

    name: ClassVar[str] = 'objective'

    run_times: RunTimes

    def get_key(
        self,
        job: Job,
        queue: Queue,
        wall: float,
    ) -> tuple[float, ...]:
        """Get the key by lateness, priority and release time."""
        if job.spec.lasts:
            fills = all(phase.needs.fills for phase in job.spec.phases)
            rank = _BACKFILL_CLASS if fills else 0
            return (rank, queue.priority, job.accepted_at)
        return (
            1 + (wall > self._get_latest_start(job, queue)),
            queue.priority,
            get_release_time(job),
        )

    def get_key_expiry(self, job: Job, queue: Queue, wall: float) -> float:
        """Get the time after which the job misses its objective."""
        if job.spec.lasts:
            return inf
        latest = self._get_latest_start(job, queue)
        return inf if wall > latest else latest

    def misses_objective(self, job: Job, queue: Queue, wall: float) -> bool:
        """Compare the estimate of the remaining work with the objective."""
        if job.spec.lasts:
            return False
        return wall > get_latest_resume_time(
            job, queue, self.run_times, _get_margin_share(job)
        )

    def _get_latest_start(self, job: Job, queue: Queue) -> float:
        """Get the time from which the job counts as late."""
        return get_latest_resume_time(
            job, queue, self.run_times, _get_margin_share(job)
        )


def get_critical_path_seconds(
    spec: JobSpec,
    queue: QueueName,
    run_times: RunTimes,
) -> float:
    """Get the length of the critical path by the expected run times."""
    ends: list[float] = []
    for phase in spec.phases:
        before = max((ends[number] for number in phase.after), default=0)
        ends.append(before + run_times.get_seconds(queue, phase.needs))
    return max(ends, default=0)


def get_remaining_seconds(job: Job, run_times: RunTimes) -> float:
    """Get the length of the critical path over unfinished phases.

    Only the first occurrence of a repeating job counts.
    """
    ends: list[float] = []
    for number, phase in enumerate(job.spec.phases):
        before = max((ends[required] for required in phase.after), default=0)
        own = run_times.get_seconds(job.queue, phase.needs)
        ends.append(before + own * (not job.is_phase_done(0, number)))
    return max(ends, default=0)


def get_objective(job: Job, queue: Queue, run_times: RunTimes) -> float:
    """Get the wall-clock time by which a job should be done."""
    critical_path_seconds = get_critical_path_seconds(
        job.spec, job.queue, run_times
    )
    return (
        get_release_time(job)
        + critical_path_seconds * queue.stretch
        + queue.target_seconds
    )


def get_release_time(job: Job) -> float:
    """Get the wall-clock time from which the objective is counted."""
    return max(job.accepted_at, job.spec.get_due(0))


def get_latest_resume_time(
    job: Job,
    queue: Queue,
    run_times: RunTimes,
    margin_share: float,
) -> float:
    """Get the latest time to resume a job so that it meets its objective."""
    objective = get_objective(job, queue, run_times)
    remaining_seconds = get_remaining_seconds(job, run_times)
    return objective - remaining_seconds * (1 + margin_share)


def _get_margin_share(job: Job) -> float:
    is_begun = job.state is JobState.running
    return _ESTIMATE_MARGIN_SHARE if is_begun else _BEGIN_MARGIN_SHARE
