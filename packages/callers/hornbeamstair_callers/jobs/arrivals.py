"""Work that callers asked each service for, learned from the accepted jobs."""

from collections.abc import Iterator

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.run_times import RunTimes
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import JobId, PoolName
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.moves.turns import WorkArrivals

__all__ = ('ArrivalIndex',)


@define(eq=False)
class ArrivalIndex:
    """Arrivals of work by pool; a new leader reads them from the job table."""

    arrivals: dict[PoolName, WorkArrivals] = field(factory=dict)
    # Term whose arrivals these are; the clock of an earlier one may differ.
    term: int = 0
    latest: JobId = JobId('')
    latest_at: float = 0

    def update(self, scheduler: Scheduler, now: Moment) -> None:
        """Add the jobs that were accepted since the last update."""
        if self.term != scheduler.fencing_token:
            self.term = scheduler.fencing_token
            self.arrivals.clear()
            self.latest = JobId('')
            self.latest_at = 0
        jobs = list(self._find_new(scheduler))
        if jobs:
            self.latest = jobs[0].spec.job
            self.latest_at = jobs[0].accepted_at
        run_times = scheduler.policies.run_times
        for job in reversed(jobs):
            work = _get_work(job, run_times)
            if work:
                at = now.monotonic - (now.wall - job.accepted_at)
                pool = PoolName(job.service)
                self.arrivals.setdefault(pool, WorkArrivals()).add(at, work)
        for arrivals in self.arrivals.values():
            arrivals.forget_old(now.monotonic)

    def _find_new(self, scheduler: Scheduler) -> Iterator[Job]:
        """Find the new jobs, the latest first; the table has their order."""
        for job in reversed(scheduler.state.jobs.jobs.values()):
            is_older = job.accepted_at < self.latest_at
            if is_older or job.spec.job == self.latest:
                return
            yield job


def _get_work(job: Job, run_times: RunTimes) -> float:
    """Get the finite work of a job, in thousandths of a core-second."""
    return sum(
        phase.count
        * phase.needs.room.cpu
        * run_times.get_seconds(job.queue, phase.needs)
        for phase in job.spec.phases
        if not phase.needs.lasts and not phase.needs.fills
    )
