"""Index of the jobs with tasks to start."""

from collections import defaultdict
from collections.abc import Iterable
from heapq import heappop, heappush

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ranking import JobRankingPolicy
from hornbeamstair_callers.jobs.ready import ReadyPhase, find_ready
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.waiting_queue import ServiceQueue, WaitingJob
from hornbeamstair_core.ids import JobId, ServiceName, TaskId, WorkspaceName
from hornbeamstair_operators.manifest.messages import Manifest
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('WaitingJobs',)

# Key of a job whose queue is not in the manifest; such a job is not placed.
_UNRANKED_KEY = (0,)
_NEVER = float('inf')


@define(eq=False)
class WaitingJobs:
    """Ready tasks by job, recomputed only for jobs that changed."""

    jobs: JobTable
    manifest: ManifestTable
    ranking_policy: JobRankingPolicy
    ready: dict[JobId, WaitingJob] = field(factory=dict)
    queues: defaultdict[ServiceName, ServiceQueue] = field(
        factory=lambda: defaultdict(ServiceQueue),
    )
    stale: dict[JobId, None] = field(factory=dict)
    # Open jobs with several occurrences.
    repeating: dict[JobId, None] = field(factory=dict)
    # Services with new waiting jobs since their last placement.
    changed_services: set[ServiceName] = field(factory=set)
    # Wall-clock times since which phases have had ready tasks.
    ready_since: dict[JobId, dict[str, float]] = field(factory=dict)
    # Heap of the wall-clock times at which sort keys expire.
    key_expiries: list[tuple[float, JobId]] = field(factory=list, init=False)
    # Manifest that the current sort keys are based on.
    ranked_manifest: Manifest | None = field(default=None, init=False)
    # Tasks with a start or end record that is not applied yet, and the
    # monotonic time since which it is being committed.
    in_flight: dict[TaskId, float] = field(factory=dict)

    def mark_stale(self, jobs: Iterable[JobId]) -> None:
        """Schedule the ready tasks of jobs for recomputation."""
        self.stale.update(dict.fromkeys(jobs))

    def mark_repeating(self) -> None:
        """Schedule repeating jobs for recomputation; occurrences become due."""
        self.mark_stale(self.repeating)

    def get_queues(self, wall: float) -> dict[ServiceName, ServiceQueue]:
        """Get the waiting jobs of each service in placement order."""
        self._refresh(wall)
        return self.queues

    def get_waiting(
        self,
        wall: float,
    ) -> dict[ServiceName, list[WaitingJob]]:
        """Get the waiting jobs of each service that has any."""
        waiting = {
            service: queue.get_jobs()
            for service, queue in self.get_queues(wall).items()
        }
        return {service: jobs for service, jobs in waiting.items() if jobs}

    def get_services(
        self, workspaces: Iterable[WorkspaceName]
    ) -> set[ServiceName]:
        """Get the services for which jobs of workspaces wait."""
        return {
            service
            for service, queue in self.queues.items()
            if any(map(queue.has_jobs_of, workspaces))
        }

    def drain_changed_services(self, wall: float) -> set[ServiceName]:
        """Return and clear the services with new work since the last call."""
        self._refresh(wall)
        changed_services = self.changed_services
        self.changed_services = set()
        return changed_services

    def misses_objective(self, job: Job, wall: float) -> bool:
        """Return whether a job can no longer meet its objective."""
        queue = self.manifest.find_queue_by_name(job.queue)
        return queue is not None and self.ranking_policy.misses_objective(
            job, queue, wall
        )

    def has_tasks_left(self, waiting: WaitingJob) -> bool:
        """Return whether a job still has tasks to start."""
        return self.ready.get(waiting.job.spec.job) is waiting

    def keep_unplaced(self, job: JobId, phases: list[ReadyPhase]) -> None:
        """Keep only the tasks of a job that could not be placed."""
        if phases:
            self.ready[job].phases = phases
        else:
            self._remove_job(job)

    def get_wait_seconds(self, phase: ReadyPhase, wall: float) -> float:
        """Get the time for which a phase has had ready tasks, in seconds."""
        ready_since = self.ready_since.get(phase.key.job, {})
        return wall - ready_since.get(phase.phase_id, wall)

    def _refresh(self, wall: float) -> None:
        if self.ranked_manifest is not self.manifest.manifest:
            self.ranked_manifest = self.manifest.manifest
            self.mark_stale(self.ready)
        self._rerank_expired(wall)
        while self.stale:
            # A job whose refresh fails does not keep the others from theirs.
            job_id = next(iter(self.stale))
            self.stale.pop(job_id)
            job = self.jobs.jobs.get(job_id)
            self._update_repeating(job_id, job)
            phases = [] if job is None else find_ready(job, wall)
            if job is None or not phases:
                self._remove_job(job_id)
            else:
                self._update_ready_since(job_id, phases, wall)
                self._rank(job, phases, wall)

    def _rerank_expired(self, wall: float) -> None:
        """Recompute the sort keys that have expired."""
        while self.key_expiries and self.key_expiries[0][0] < wall:
            waiting = self.ready.get(heappop(self.key_expiries)[-1])
            if waiting is not None and waiting.key_valid_until < wall:
                self._rank(waiting.job, waiting.phases, wall)

    def _rank(self, job: Job, phases: list[ReadyPhase], wall: float) -> None:
        self._remove_waiting_job(job.spec.job)
        waiting = self._make_waiting_job(job, phases, wall)
        self.ready[job.spec.job] = waiting
        if waiting.service is not None:
            self.changed_services.add(waiting.service)
            self.queues[waiting.service].add(waiting)
        if waiting.key_valid_until < _NEVER:
            heappush(self.key_expiries, (waiting.key_valid_until, job.spec.job))

    def _make_waiting_job(
        self,
        job: Job,
        phases: list[ReadyPhase],
        wall: float,
    ) -> WaitingJob:
        queue = self.manifest.find_queue_by_name(job.queue)
        if queue is None:
            return WaitingJob(_UNRANKED_KEY, _NEVER, None, job, phases)
        return WaitingJob(
            self.ranking_policy.get_key(job, queue, wall),
            self.ranking_policy.get_key_expiry(job, queue, wall),
            queue.service,
            job,
            phases,
        )

    def _remove_waiting_job(self, job: JobId) -> None:
        waiting = self.ready.pop(job, None)
        if waiting is not None and waiting.service is not None:
            self.queues[waiting.service].remove(waiting)

    def _remove_job(self, job: JobId) -> None:
        self._remove_waiting_job(job)
        self.ready_since.pop(job, None)

    def _update_repeating(self, job_id: JobId, job: Job | None) -> None:
        if job is not None and job.is_open and job.spec.repeat_count:
            self.repeating[job_id] = None
        else:
            self.repeating.pop(job_id, None)

    def _update_ready_since(
        self,
        job: JobId,
        phases: list[ReadyPhase],
        wall: float,
    ) -> None:
        ready_since = self.ready_since.get(job, {})
        self.ready_since[job] = {
            phase.phase_id: ready_since.get(phase.phase_id, wall)
            for phase in phases
        }
