"""Log of the tasks that wait, beside the room of their workers."""

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

__all__ = ('WaitingLog',)

# The shortest waits that matter to callers are some tenths of a second; a
# line costs a pass over all workers.
_INTERVAL_SECONDS: Final = 1.0
# Tasks that became ready since the last tick have not been placed yet.
_WAITING_SECONDS: Final = 0.1


@define(eq=False)
class WaitingLog:
    """Log of the services whose tasks wait."""

    waiting: WaitingJobs
    told_at: float = field(default=-_INTERVAL_SECONDS)

    def tell_due(
        self,
        sessions: Collection[WorkerSession],
        now: Moment,
    ) -> None:
        """Write what waits if the last line is some time ago."""
        if now.steady - self.told_at < _INTERVAL_SECONDS:
            return
        self.told_at = now.steady
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
                oldest = max(waited for _, waited in waits)
                yield {
                    'service': service,
                    'jobs': len(jobs),
                    'tasks': sum(count for count, _ in waits),
                    'oldest_ms': to_milliseconds(oldest),
                    **_describe_workers(service, sessions, now),
                }

    def _get_waits(
        self,
        job: WaitingJob,
        wall: float,
    ) -> Iterator[tuple[int, float]]:
        """Get the count of waiting tasks of each phase, and their wait."""
        in_flight = self.waiting.in_flight
        for phase in job.phases:
            count = sum(1 for task in phase.tasks if task not in in_flight)
            waited = self.waiting.get_waited(phase, wall)
            if count and waited >= _WAITING_SECONDS:
                yield count, waited


def _describe_workers(
    service: ServiceName,
    sessions: Collection[WorkerSession],
    now: Moment,
) -> dict[str, int]:
    found = [
        session for session in sessions if session.announced.service == service
    ]
    usable = [session for session in found if session.may_start(now.steady)]
    free = [session.get_free() for session in usable]
    return {
        'workers': len(found),
        'usable': len(usable),
        'free_cpu': sum(room.cpu for room in free),
        'largest_free_cpu': max((room.cpu for room in free), default=0),
        'free_memory': sum(room.memory for room in free),
    }
