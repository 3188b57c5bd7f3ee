"""Index of the jobs that have tasks to start."""

from collections import defaultdict
from collections.abc import Iterable
from heapq import heappop, heappush

from attrs import define, field

from hornbeamstair_callers.jobs.order import JobOrder
from hornbeamstair_callers.jobs.ready import ReadyPhase, find_ready
from hornbeamstair_callers.jobs.table import Job, JobTable
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob, WaitingQueue
from hornbeamstair_core.ids import JobId, ServiceName, TaskId
from hornbeamstair_operators.manifest.messages import Manifest
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('WaitingJobs',)

# Key of a job whose queue is not in the manifest; it is not placed.
_NO_KEY = (0,)
_FOR_GOOD = float('inf')


@define(eq=False)
class WaitingJobs:
    """Ready tasks by job, worked out again only for jobs that changed."""

    jobs: JobTable
    manifest: ManifestTable
    order: JobOrder
    ready: dict[JobId, WaitingJob] = field(factory=dict)
    queues: defaultdict[ServiceName, WaitingQueue] = field(
        factory=lambda: defaultdict(WaitingQueue),
    )
    stale: dict[JobId, None] = field(factory=dict)
    # Open jobs that are due at several times.
    repeating: dict[JobId, None] = field(factory=dict)
    # Services that got work since they were last placed.
    changed: set[ServiceName] = field(factory=set)
    # Wall-clock times since when phases have ready tasks.
    since: dict[JobId, dict[str, float]] = field(factory=dict)
    # Times after which the keys of jobs change by themselves, as a heap.
    changes: list[tuple[float, JobId]] = field(factory=list, init=False)
    # Manifest by which the jobs were ranked.
    ranked_by: Manifest | None = field(default=None, init=False)
    # Tasks of which a start or an end is being recorded.
    in_flight: set[TaskId] = field(factory=set)

    def mark(self, jobs: Iterable[JobId]) -> None:
        """Have the ready tasks of jobs worked out again."""
        self.stale.update(dict.fromkeys(jobs))

    def mark_due(self) -> None:
        """Have the jobs worked out again that become due by time."""
        self.mark(self.repeating)

    def get_queues(self, wall: float) -> dict[ServiceName, WaitingQueue]:
        """Get the waiting jobs of each service in their order."""
        self._refresh(wall)
        return self.queues

    def get_waiting(
        self,
        wall: float,
    ) -> dict[ServiceName, list[WaitingJob]]:
        """Get all waiting jobs of the services that have any."""
        return {
            service: queue.jobs
            for service, queue in self.get_queues(wall).items()
            if queue.jobs
        }

    def take_changed(self, wall: float) -> set[ServiceName]:
        """Take the services that got work since the last call."""
        self._refresh(wall)
        changed = self.changed
        self.changed = set()
        return changed

    def is_hopeless(self, job: Job, wall: float) -> bool:
        """Tell whether a job can no longer meet its objective."""
        queue = self.manifest.find_known(job.queue)
        return queue is not None and self.order.is_hopeless(job, queue, wall)

    def has(self, waiting: WaitingJob) -> bool:
        """Tell whether a job still has tasks to start."""
        return self.ready.get(waiting.job.spec.job) is waiting

    def put_left(self, job: JobId, phases: list[ReadyPhase]) -> None:
        """Keep the tasks that could not be placed."""
        if phases:
            self.ready[job].phases = phases
        else:
            self._drop(job)

    def get_waited(self, phase: ReadyPhase, wall: float) -> float:
        """Get the seconds for which a phase has had ready tasks."""
        since = self.since.get(phase.key.job, {})
        return wall - since.get(phase.group, wall)

    def _refresh(self, wall: float) -> None:
        if self.ranked_by is not self.manifest.manifest:
            self.ranked_by = self.manifest.manifest
            self.mark(self.ready)
        self._rank_due(wall)
        for job_id in self.stale:
            job = self.jobs.jobs.get(job_id)
            self._note_repeating(job_id, job)
            phases = [] if job is None else find_ready(job, wall)
            if job is None or not phases:
                self._drop(job_id)
            else:
                self._note_since(job_id, phases, wall)
                self._rank(job, phases, wall)
        self.stale.clear()

    def _rank_due(self, wall: float) -> None:
        """Rank the jobs again whose keys have changed by time."""
        while self.changes and self.changes[0][0] < wall:
            waiting = self.ready.get(heappop(self.changes)[-1])
            if waiting is not None and waiting.until < wall:
                self._rank(waiting.job, waiting.phases, wall)

    def _rank(self, job: Job, phases: list[ReadyPhase], wall: float) -> None:
        self._take_out(job.spec.job)
        waiting = self._make(job, phases, wall)
        self.ready[job.spec.job] = waiting
        if waiting.service is not None:
            self.changed.add(waiting.service)
            self.queues[waiting.service].put(waiting)
        if waiting.until < _FOR_GOOD:
            heappush(self.changes, (waiting.until, job.spec.job))

    def _make(
        self,
        job: Job,
        phases: list[ReadyPhase],
        wall: float,
    ) -> WaitingJob:
        queue = self.manifest.find_known(job.queue)
        if queue is None:
            return WaitingJob(_NO_KEY, _FOR_GOOD, None, job, phases)
        return WaitingJob(
            self.order.get_key(job, queue, wall),
            self.order.get_change(job, queue, wall),
            queue.service,
            job,
            phases,
        )

    def _take_out(self, job: JobId) -> None:
        waiting = self.ready.pop(job, None)
        if waiting is not None and waiting.service is not None:
            self.queues[waiting.service].drop(waiting)

    def _drop(self, job: JobId) -> None:
        self._take_out(job)
        self.since.pop(job, None)

    def _note_repeating(self, job_id: JobId, job: Job | None) -> None:
        if job is not None and job.is_open and job.spec.repeat_count:
            self.repeating[job_id] = None
        else:
            self.repeating.pop(job_id, None)

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
