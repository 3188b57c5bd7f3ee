"""Open jobs without a task that is known to have started."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_core.ids import JobId, QueueName, TaskId
from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('UnstartedJobs',)

# Ends of runs that may not have started.
_ENDS_WITHOUT_START: Final = (
    RunEnd.lost,
    RunEnd.expired,
    RunEnd.crashed,
)


@define(eq=False)
class UnstartedJobs:
    """Jobs by queue, from acceptance until a worker confirms a start.

    The record of a start does not count: it is committed before the start
    order, which may arrive late or not at all.
    """

    # Queue of each job.
    queues: dict[JobId, QueueName] = field(factory=dict)
    jobs_by_queue: dict[QueueName, set[JobId]] = field(factory=dict)

    def add_job(self, job: Job) -> None:
        """Add a job unless one of its tasks was started."""
        if not _has_ended_runs(job):
            self.queues[job.spec.job] = job.queue
            self.jobs_by_queue.setdefault(job.queue, set()).add(job.spec.job)

    def remove_started(self, tasks: Iterable[TaskId]) -> None:
        """Remove the jobs of tasks that a worker has started."""
        for task in tasks:
            self.discard(get_job_id(task))

    def handle_end(self, task: TaskId, end: RunEnd) -> None:
        """Remove the job of a task whose end shows that it had started."""
        if end not in _ENDS_WITHOUT_START:
            self.remove_started((task,))

    def discard(self, job: JobId) -> None:
        """Remove a job."""
        queue = self.queues.pop(job, None)
        if queue is not None:
            self.jobs_by_queue[queue].discard(job)

    def count(self, queue: QueueName) -> int:
        """Count the jobs of a queue that wait for their first start."""
        return len(self.jobs_by_queue.get(queue, ()))


def _has_ended_runs(job: Job) -> bool:
    """Return whether the records show that a task of a job ran."""
    return bool(job.done) or any(
        task.failures or task.checkpoint for task in job.tasks.values()
    )
