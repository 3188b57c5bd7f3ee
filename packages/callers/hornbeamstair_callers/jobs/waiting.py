"""Index of the jobs that have tasks to start."""

from collections.abc import Iterable

from attrs import define, field, frozen

from hornbeamstair_callers.jobs.order import JobOrder
from hornbeamstair_callers.jobs.ready import ReadyPhase, find_ready
from hornbeamstair_callers.jobs.table import Job, JobTable
from hornbeamstair_core.ids import JobId, ServiceName, TaskId
from hornbeamstair_operators.manifest.messages import Manifest, Queue
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('WaitingJob', 'WaitingJobs')


@define(eq=False)
class WaitingJob:
    """Job with its place in the order and its ready tasks."""

    key: tuple[float, ...]
    job: Job
    phases: list[ReadyPhase]


@frozen
class _Rank:
    """Sort key of a job, and the time up to which it holds."""

    key: tuple[float, ...]
    until: float


@define(eq=False)
class WaitingJobs:
    """Ready tasks by job, worked out again only for jobs that changed."""

    jobs: JobTable
    manifest: ManifestTable
    order: JobOrder
    ready: dict[JobId, list[ReadyPhase]] = field(factory=dict)
    stale: set[JobId] = field(factory=set)
    # Wall-clock times since when phases have ready tasks.
    since: dict[JobId, dict[str, float]] = field(factory=dict)
    ranks: dict[JobId, _Rank] = field(factory=dict, init=False)
    # Manifest by which the jobs were ranked.
    ranked_by: Manifest | None = field(default=None, init=False)
    # Tasks of which a start or an end is being recorded.
    in_flight: set[TaskId] = field(factory=set)

    def mark(self, jobs: Iterable[JobId]) -> None:
        """Have the ready tasks of jobs worked out again."""
        self.stale.update(jobs)

    def mark_due(self) -> None:
        """Have the jobs worked out again that become due by time."""
        self.mark(
            job.spec.job
            for job in self.jobs.get_open()
            if job.spec.repeat_count
        )

    def get_waiting(
        self,
        wall: float,
    ) -> dict[ServiceName, list[WaitingJob]]:
        """Get the waiting jobs of each service in their order."""
        self._refresh(wall)
        if self.ranked_by is not self.manifest.manifest:
            self.ranked_by = self.manifest.manifest
            self.ranks.clear()
        by_service: dict[ServiceName, list[WaitingJob]] = {}
        for job_id, phases in self.ready.items():
            job = self.jobs.jobs[job_id]
            queue = self.manifest.find_known(job.queue)
            if queue is not None:
                waiting = WaitingJob(
                    self._get_key(job, queue, wall),
                    job,
                    phases,
                )
                by_service.setdefault(queue.service, []).append(waiting)
        for found in by_service.values():
            found.sort(key=_get_key)
        return by_service

    def is_hopeless(self, job: Job, wall: float) -> bool:
        """Tell whether a job can no longer meet its objective."""
        queue = self.manifest.find_known(job.queue)
        return queue is not None and self.order.is_hopeless(job, queue, wall)

    def put_left(self, job: JobId, phases: list[ReadyPhase]) -> None:
        """Keep the tasks that could not be placed."""
        if phases:
            self.ready[job] = phases
        else:
            self.ready.pop(job, None)
            self.since.pop(job, None)
            self.ranks.pop(job, None)

    def get_waited(self, phase: ReadyPhase, wall: float) -> float:
        """Get the seconds for which a phase has had ready tasks."""
        since = self.since.get(phase.key.job, {})
        return wall - since.get(phase.group, wall)

    def _get_key(
        self,
        job: Job,
        queue: Queue,
        wall: float,
    ) -> tuple[float, ...]:
        rank = self.ranks.get(job.spec.job)
        if rank is None or wall > rank.until:
            rank = _Rank(
                self.order.get_key(job, queue, wall),
                self.order.get_change(job, queue, wall),
            )
            self.ranks[job.spec.job] = rank
        return rank.key

    def _refresh(self, wall: float) -> None:
        for job_id in self.stale:
            job = self.jobs.jobs.get(job_id)
            self.ranks.pop(job_id, None)
            phases = [] if job is None else find_ready(job, wall)
            self._note_since(job_id, phases, wall)
            self.put_left(job_id, phases)
        self.stale.clear()

    def _note_since(
        self,
        job: JobId,
        phases: list[ReadyPhase],
        wall: float,
    ) -> None:
        since = self.since.get(job, {})
        self.since[job] = {
            phase.group: since.get(phase.group, wall) for phase in phases
        }


def _get_key(waiting: WaitingJob) -> tuple[float, ...]:
    return waiting.key
