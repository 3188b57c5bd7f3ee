"""Event log of ended jobs and their objectives."""

from attrs import define, field

from hornbeamstair_callers.jobs.events import JobEndedEvent
from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ranking import get_objective
from hornbeamstair_callers.jobs.run_times import RunTimes
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import JobId
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('JobEventLog',)


@define(eq=False)
class JobEventLog:
    """Logs the end of each job; shows whether a late job waited or ran long."""

    manifest: ManifestTable
    run_times: RunTimes
    # Wall-clock times of the first starts recorded under this leader.
    begun: dict[JobId, float] = field(factory=dict)
    # Jobs whose end was logged.
    logged: set[JobId] = field(factory=set)

    def add_start(self, job: JobId, wall: float) -> None:
        """Store the time of the first start of a job."""
        self.begun.setdefault(job, wall)

    def log_end(self, job: Job, at: float) -> None:
        """Log the end of a job once."""
        job_id = job.spec.job
        if job_id in self.logged:
            return
        self.logged.add(job_id)
        begun = self.begun.pop(job_id, None)
        log_event(
            JobEndedEvent(
                job_id,
                job.state.value,
                to_milliseconds(at - job.accepted_at),
                None
                if begun is None
                else to_milliseconds(begun - job.accepted_at),
                self._get_objective_ms(job),
            ),
        )

    def forget(self, jobs: tuple[JobId, ...]) -> None:
        """Remove jobs that are no longer in the job table."""
        self.logged.difference_update(jobs)
        for job in jobs:
            self.begun.pop(job, None)

    def _get_objective_ms(self, job: Job) -> int | None:
        queue = self.manifest.find_queue_by_name(job.queue)
        if queue is None or job.spec.lasts:
            return None
        objective = get_objective(job, queue, self.run_times)
        return to_milliseconds(objective - job.accepted_at)
