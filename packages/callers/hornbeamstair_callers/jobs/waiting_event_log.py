"""Event log of waiting tasks and the free resources of their workers."""

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final

from attrs import define, field

from hornbeamstair_callers.jobs.events import WorkWaitingEvent
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import ServiceName
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WaitingEventLog',)

# Waits of some tenths of a second matter to callers, but each line costs a
# pass over all workers.
_INTERVAL_SECONDS: Final = 1.0
# Tasks that became ready since the last tick are not placed yet.
_MIN_WAIT_SECONDS: Final = 0.1


@define(eq=False)
class WaitingEventLog:
    """Logs the services that have waiting tasks."""

    waiting: WaitingJobs
    logged_at: float = field(default=-_INTERVAL_SECONDS)

    def log_due(
        self,
        sessions: Collection[WorkerSession],
        now: Moment,
    ) -> None:
        """Log the waiting tasks if the interval has passed."""
        if now.monotonic - self.logged_at < _INTERVAL_SECONDS:
            return
        self.logged_at = now.monotonic
        services = tuple(self._describe(sessions, now))
        if services:
            log_event(WorkWaitingEvent(services))

    def _describe(
        self,
        sessions: Collection[WorkerSession],
        now: Moment,
    ) -> Iterator[Mapping[str, Any]]:
        for service, jobs in self.waiting.get_waiting(now.wall).items():
            waits = [
                wait for job in jobs for wait in self._get_waits(job, now.wall)
            ]
            if waits:
                oldest = max(wait_seconds for _, wait_seconds in waits)
                yield {
                    'service': service,
                    'jobs': len(jobs),
                    'tasks': sum(count for count, _ in waits),
                    'oldest_ms': to_milliseconds(oldest),
                    'backfill_tasks': sum(map(_count_backfill_tasks, jobs)),
                    'paused_tasks': sum(
                        _count_paused_tasks(job, now.wall) for job in jobs
                    ),
                    **_describe_workers(service, sessions, now),
                }

    def _get_waits(
        self,
        job: WaitingJob,
        wall: float,
    ) -> Iterator[tuple[int, float]]:
        """Yield the number of waiting tasks and their wait, for each phase."""
        in_flight = self.waiting.in_flight
        for phase in job.phases:
            count = sum(1 for task in phase.tasks if task not in in_flight)
            wait_seconds = self.waiting.get_wait_seconds(phase, wall)
            if count and wait_seconds >= _MIN_WAIT_SECONDS:
                yield count, wait_seconds


def _describe_workers(
    service: ServiceName,
    sessions: Collection[WorkerSession],
    now: Moment,
) -> dict[str, Any]:
    service_sessions = [
        session for session in sessions if session.announced.service == service
    ]
    obstacles = {
        session: session.find_obstacle(now.monotonic)
        for session in service_sessions
    }
    usable = [
        session for session, obstacle in obstacles.items() if obstacle is None
    ]
    found = filter(None, obstacles.values())
    free = [session.get_free_resources() for session in usable]
    return {
        'workers': len(service_sessions),
        'usable': len(usable),
        'unusable': Counter(obstacle.value for obstacle in found),
        'free_cpu': sum(resources.cpu for resources in free),
        'largest_free_cpu': max(
            (resources.cpu for resources in free), default=0
        ),
        'free_memory': sum(resources.memory for resources in free),
        # Backfill tasks are not placed on these.
        'serving': sum(session.serves_requests() for session in usable),
    }


def _count_paused_tasks(waiting: WaitingJob, wall: float) -> int:
    history = waiting.job.crash_history
    return sum(
        history.is_paused(task, wall)
        for phase in waiting.phases
        for task in phase.tasks
        if task in history.crashes
    )


def _count_backfill_tasks(job: WaitingJob) -> int:
    return sum(
        len(phase.tasks) for phase in job.phases if phase.phase.needs.fills
    )
