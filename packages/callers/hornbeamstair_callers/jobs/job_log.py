"""Log of the jobs that ended, beside their objectives."""

from attrs import define, field

from hornbeamstair_callers.jobs.events import JobEndedEvent
from hornbeamstair_callers.jobs.order import get_objective
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import JobId
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('JobLog',)


@define(eq=False)
class JobLog:
    """Log that tells late jobs that waited from jobs that took long."""

    manifest: ManifestTable
    # Wall-clock times of the first recorded starts that this holder saw.
    begun: dict[JobId, float] = field(factory=dict)
    # Jobs whose end is in the log of events.
    logged: set[JobId] = field(factory=set)

    def note_start(self, job: JobId, wall: float) -> None:
        """Note the record of a start."""
        self.begun.setdefault(job, wall)

    def note_end(self, job: Job, at: float) -> None:
        """Write the end of a job once."""
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
        """Forget jobs that nobody may ask for."""
        self.logged.difference_update(jobs)
        for job in jobs:
            self.begun.pop(job, None)

    def _get_objective_ms(self, job: Job) -> int | None:
        queue = self.manifest.find_known(job.queue)
        if queue is None or job.spec.lasts:
            return None
        return to_milliseconds(get_objective(job, queue) - job.accepted_at)
