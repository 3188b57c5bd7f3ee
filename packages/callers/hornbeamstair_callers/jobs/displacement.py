"""Backfill that yields its worker to a task that serves requests.

The two interfere on one worker, and placement keeps them apart. Where backfill
holds every worker that a serving task fits on, one of these is vacated.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import takewhile
from typing import Final

from attrs import define

from hornbeamstair_callers.jobs.availability import PhaseAvailability
from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_queue import ServiceQueue, WaitingJob
from hornbeamstair_callers.workspaces.quotas import StartQuotas
from hornbeamstair_core.ids import ServiceName
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.drain_stops import request_drain_stop
from hornbeamstair_upstreams.work.index import WorkerIndex
from hornbeamstair_upstreams.work.leases import LeaseTerms
from hornbeamstair_upstreams.work.messages import TaskNeeds
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_used_resources,
)

__all__ = ('BackfillDisplacement',)

# A task that waits for less may still find a worker without backfill.
_MIN_WAIT_SECONDS: Final = 0.5


@define(eq=False)
class BackfillDisplacement:
    """Stops backfill on as many workers as waiting serving tasks need."""

    waiting: WaitingJobs
    index: WorkerIndex
    quotas: StartQuotas
    availability: PhaseAvailability

    @classmethod
    def make(
        cls,
        waiting: WaitingJobs,
        index: WorkerIndex,
        quotas: StartQuotas,
        terms: LeaseTerms,
    ) -> 'BackfillDisplacement':
        """Make the displacement of the jobs that wait."""
        availability = PhaseAvailability(index, waiting.jobs, terms)
        return cls(waiting, index, quotas, availability)

    def displace(self, now: Moment) -> None:
        """Request the stops that are due after a placement pass."""
        for service, queue in self.waiting.get_queues(now.wall).items():
            claimed: set[WorkerSession] = set()
            for waiting_job in _find_long_running(queue):
                for ready, count in self._find_due(waiting_job, now):
                    self._vacate(service, ready, count, claimed, now)

    def _find_due(
        self,
        waiting_job: WaitingJob,
        now: Moment,
    ) -> Iterator[tuple[ReadyPhase, int]]:
        workspace = waiting_job.job.workspace
        for ready in waiting_job.phases:
            due = self._count_due(waiting_job.job, ready, now)
            count = self.quotas.count_startable(workspace, ready.phase, due)
            if count:
                yield ready, count

    def _count_due(self, job: Job, ready: ReadyPhase, now: Moment) -> int:
        """Count the serving tasks of a phase that have waited for a worker."""
        needs = ready.phase.needs
        if not needs.target_seconds or needs.fills:
            return 0
        wait_seconds = self.waiting.get_wait_seconds(ready, now.wall)
        if wait_seconds < _MIN_WAIT_SECONDS:
            return 0
        # Backfill would take the worker of a paused task again.
        due = sum(
            task not in self.waiting.in_flight
            and not job.crash_history.is_paused(task, now.wall)
            for task in ready.tasks
        )
        is_partial_gang = ready.phase.is_gang and due < ready.phase.count
        return 0 if is_partial_gang else due

    def _vacate(
        self,
        service: ServiceName,
        ready: ReadyPhase,
        count: int,
        claimed: set[WorkerSession],
        now: Moment,
    ) -> None:
        """Vacate workers for tasks, unless enough are free or being vacated."""
        workers = self.index.get_service_workers(service).indexed_racks
        candidates = [
            session
            for session in workers
            if session not in claimed
            and _may_hold(session, ready, now)
            and self._may_vacate(session, now)
        ]
        candidates.sort(key=lambda session: _get_rank(session, ready))
        if ready.phase.is_gang and len(candidates) < count:
            # A gang starts as a whole.
            return
        for candidate in candidates[:count]:
            # The stops on one worker make others of the phase unavailable.
            if self._may_vacate(candidate, now):
                claimed.add(candidate)
                for run in _get_unstopped(candidate):
                    request_drain_stop(candidate, run)

    def _may_vacate(self, session: WorkerSession, now: Moment) -> bool:
        runs = _get_unstopped(session)
        counts = Counter(run.phase_id for run in runs)
        return all(
            run.state == RunState.running
            and self.availability.may_interrupt(run, now, counts[run.phase_id])
            for run in runs
        )


def _find_long_running(queue: ServiceQueue) -> Iterator[WaitingJob]:
    """Find the long-running jobs, which come first in each queue."""
    for jobs in queue.by_workspace.values():
        yield from takewhile(
            lambda waiting_job: waiting_job.job.spec.lasts, jobs.jobs
        )


def _get_unstopped(session: WorkerSession) -> list[Run]:
    return [run for run in _get_backfill(session) if not run.is_stop_requested]


def _get_backfill(session: WorkerSession) -> list[Run]:
    return [run for run in session.runs.values() if run.needs.fills]


def _may_hold(session: WorkerSession, ready: ReadyPhase, now: Moment) -> bool:
    """Return whether a task fits on a worker without its backfill."""
    needs = ready.phase.needs
    backfill = _get_backfill(session)
    if not session.may_start(now.monotonic):
        return False
    if not session.has_label(needs):
        return False
    limit = needs.spread_limit
    if limit and session.count_phase_runs(ready.phase_id) >= limit:
        return False
    return _fits_without(session, backfill, needs)


def _fits_without(
    session: WorkerSession,
    backfill: Iterable[Run],
    needs: TaskNeeds,
) -> bool:
    free = session.get_free_resources()
    for run in backfill:
        free = free.plus(get_used_resources(run.needs))
    return free.fits(get_used_resources(needs))


def _get_rank(
    session: WorkerSession,
    ready: ReadyPhase,
) -> tuple[bool, bool, int]:
    """Prefer workers that are being vacated, then those near the data."""
    unstopped = _get_unstopped(session)
    data_rack = ready.phase.needs.data_rack
    is_away = bool(data_rack) and session.announced.rack != data_rack
    return bool(unstopped), is_away, len(unstopped)
