"""Open jobs of which no worker is known to have started a task."""

from collections.abc import Iterable

from attrs import define, field

from hornbeamstair_callers.jobs.messages import get_job
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_core.ids import JobId, QueueName, TaskId

__all__ = ('UnstartedJobs',)


@define(eq=False)
class UnstartedJobs:
    """Jobs by their queue, from their acceptance to a worker's word.

    The record of a start is written before its order, which may come late
    or never reach its worker.
    """

    queues: dict[JobId, QueueName] = field(factory=dict)
    by_queue: dict[QueueName, set[JobId]] = field(factory=dict)

    def note_open(self, job: Job) -> None:
        """Count a job until one of its tasks was started."""
        if not _has_ended_runs(job):
            self.queues[job.spec.job] = job.queue
            self.by_queue.setdefault(job.queue, set()).add(job.spec.job)

    def note_started(self, tasks: Iterable[TaskId]) -> None:
        """Count the jobs of tasks no more that a worker has or had."""
        for task in tasks:
            self.discard(get_job(task))

    def discard(self, job: JobId) -> None:
        """Count a job no more."""
        queue = self.queues.pop(job, None)
        if queue is not None:
            self.by_queue[queue].discard(job)

    def count(self, queue: QueueName) -> int:
        """Count the jobs of a queue that wait for their first start."""
        return len(self.by_queue.get(queue, ()))


def _has_ended_runs(job: Job) -> bool:
    """Tell whether the log shows that a worker ran a task of a job."""
    return bool(job.done) or any(
        task.failures or task.checkpoint for task in job.tasks.values()
    )
