"""Learning of run times from the job table."""

from attrs import define

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import PhaseKey, parse_task_id
from hornbeamstair_callers.jobs.run_times import RunTimes
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.ids import TaskId

__all__ = ('RunTimeLearner',)


@define(eq=False)
class RunTimeLearner:
    """Passes the durations of recorded runs to the sources of run times.

    The table holds them, so that a new leader knows what the last one did.
    """

    jobs: JobTable
    sources: tuple[RunTimes, ...]

    def learn_all(self) -> None:
        """Learn from all jobs in the table, the oldest first."""
        for job in sorted(
            self.jobs.jobs.values(), key=lambda held: held.accepted_at
        ):
            for name in job.run_totals:
                occurrence, _, phase = name.partition('.')
                key = PhaseKey(job.spec.job, int(occurrence), int(phase))
                self._learn_phase(job, key)

    def learn(self, task: TaskId) -> None:
        """Learn from the phase of a task of which a run has ended."""
        key = parse_task_id(task).key
        job = self.jobs.jobs.get(key.job)
        if job is not None:
            self._learn_phase(job, key)

    def _learn_phase(self, job: Job, key: PhaseKey) -> None:
        name = f'{key.occurrence}.{key.phase}'
        count, seconds = job.run_totals.get(name, (0, 0))
        if count:
            needs = job.spec.phases[key.phase].needs
            for source in self.sources:
                source.record(job.queue, key.phase_id, needs, seconds / count)
