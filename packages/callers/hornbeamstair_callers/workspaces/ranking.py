"""Ranking of waiting jobs by the promises to their workspaces."""

from math import inf
from typing import ClassVar, Final

from attrs import frozen

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ranking import (
    ObjectiveRanking,
    get_latest_resume_time,
    get_objective,
    get_release_time,
    get_remaining_seconds,
)
from hornbeamstair_callers.workspaces.promises import PromisedRates
from hornbeamstair_operators.manifest.messages import Queue

__all__ = ('PromisedRanking',)

# Share of its remaining work by which a job has to start early to count as in
# time: its tasks wait again for each step, and the longest of them decides.
# Jobs that just fail to make it would take the room of those that still can.
_EARLY_START_SHARE: Final = 0.6
# A job that takes longer than this multiple of its objective is of no more
# use to its caller.
_USEFUL_OBJECTIVES: Final = 3.0
# Classes: long-running, in time, late, beyond the promise in time and late.
_LATENESS_CLASSES: Final = 2
# Class of the jobs that are late beyond use.
_USELESS_CLASS: Final = 5


@frozen
class PromisedRanking(ObjectiveRanking):
    """Promised jobs first; those that are late beyond all use come last.

    So the late jobs of a workspace that sends many times its usual do not
    hold the promised ones of other workspaces back. Jobs of no workspace are
    ranked by their objective alone.
    """

    name: ClassVar[str] = 'promised'

    promises: PromisedRates

    def get_key(
        self,
        job: Job,
        queue: Queue,
        wall: float,
    ) -> tuple[float, ...]:
        """Get the key by promise, lateness, priority and release time."""
        key = super().get_key(job, queue, wall)
        if job.spec.lasts or not job.workspace:
            return key
        if wall > self._get_useful_until(job, queue):
            return (_USELESS_CLASS, *key[1:])
        if self.promises.is_beyond(job):
            return (key[0] + _LATENESS_CLASSES, *key[1:])
        return key

    def get_key_expiry(self, job: Job, queue: Queue, wall: float) -> float:
        """Get the time at which the job becomes late, then useless."""
        late_from = super().get_key_expiry(job, queue, wall)
        if job.spec.lasts or not job.workspace:
            return late_from
        useful_until = self._get_useful_until(job, queue)
        return min(late_from, inf if wall > useful_until else useful_until)

    def _get_latest_start(self, job: Job, queue: Queue) -> float:
        if not job.workspace:
            return super()._get_latest_start(job, queue)
        return get_latest_resume_time(
            job, queue, self.run_times, _EARLY_START_SHARE
        )

    def _get_useful_until(self, job: Job, queue: Queue) -> float:
        """Get the latest time to resume a job that still helps its caller."""
        released = get_release_time(job)
        objective = get_objective(job, queue, self.run_times)
        return (
            released
            + (objective - released) * _USEFUL_OBJECTIVES
            - get_remaining_seconds(job, self.run_times)
        )
