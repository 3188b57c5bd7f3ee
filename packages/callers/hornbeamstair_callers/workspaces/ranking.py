"""Ranking of waiting jobs by the promises to their workspaces."""

from typing import ClassVar, Final

from attrs import frozen

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ranking import ObjectiveRanking
from hornbeamstair_callers.workspaces.promises import PromisedRates
from hornbeamstair_operators.manifest.messages import Queue

__all__ = ('PromisedRanking',)

# Number of the classes by lateness of finite jobs.
_LATENESS_CLASSES: Final = 2


@frozen
class PromisedRanking(ObjectiveRanking):
    """Jobs beyond the rate of their workspace follow all others.

    So the late jobs of a workspace that sends many times its usual do not
    hold the promised ones of other workspaces back.
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
        if job.spec.lasts or not self.promises.is_beyond(job):
            return key
        return (key[0] + _LATENESS_CLASSES, *key[1:])
