"""Better places for the tasks of jobs, and what a wait for them is worth."""

from math import inf

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_callers.jobs.ranking import (
    get_objective,
    get_remaining_seconds,
)
from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_upstreams.work.places.waits import (
    PlaceWaits,
    PlaceWish,
    RackWaits,
)
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.stats import PlacementStats

__all__ = ('JobPlaces', 'may_try_next', 'update_members')


@define(eq=False)
class JobPlaces:
    """Wishes of the ready tasks of jobs for a place."""

    jobs: JobTable
    manifest: ManifestTable
    policies: SchedulingPolicies
    waits: PlaceWaits = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without any wait."""
        self.waits = PlaceWaits(self.policies.places, self._get_run_seconds)

    def begin_pass(self, now: float, stats: PlacementStats) -> RackWaits:
        """Begin a placement pass."""
        return RackWaits(self.waits, now, stats)

    def make_wish(
        self,
        job: Job,
        ready: ReadyPhase,
        wall: float,
    ) -> PlaceWish | None:
        """Make the wish of a phase; None if all places are as good."""
        needs = ready.phase.needs
        has_wish = needs.data_rack or needs.one_rack
        if not has_wish or self.policies.places.factor <= 1:
            return None
        run_times = self.policies.get_place_run_times()
        queue = self.manifest.find_queue_by_name(job.queue)
        slack_seconds = inf
        if queue is not None:
            objective = get_objective(job, queue, run_times)
            remaining_seconds = get_remaining_seconds(job, run_times)
            slack_seconds = objective - wall - remaining_seconds
        return PlaceWish(
            ready.phase_id,
            run_times.get_seconds(job.queue, needs),
            slack_seconds,
            ready.phase.is_gang,
            len(ready.tasks) if ready.phase.is_gang else 1,
        )

    def _get_run_seconds(self, run: Run) -> float:
        job = self.jobs.jobs.get(get_job_id(run.task))
        if job is None:
            return run.needs.estimate_seconds
        run_times = self.policies.get_place_run_times()
        return run_times.get_seconds(job.queue, run.needs)


def may_try_next(wish: PlaceWish | None) -> bool:
    """Return whether the next task of a phase may start before this one."""
    return wish is not None and wish.is_waiting and not wish.is_gang


def update_members(wish: PlaceWish | None, left: int) -> None:
    """Set how many members of a gang are still without a worker."""
    if wish is not None and wish.is_gang:
        wish.member_count = max(left, 1)
