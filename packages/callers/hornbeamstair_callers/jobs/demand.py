"""Work that waits for each service, and the room that it has."""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from hornbeamstair_callers.jobs.evacuation import has_place_elsewhere
from hornbeamstair_callers.jobs.messages import get_job
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_core.ids import JobId, PoolName, ServiceName
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('get_demands',)

# Jobs that are late in any case are to be done in this time.
_LATE_SECONDS: Final = 5.0


def get_demands(
    scheduler: Scheduler,
    now: Moment,
) -> dict[PoolName, PoolDemand]:
    """Get the demand of each service; its pool has the service's name."""
    waiting = scheduler.waiting.get_waiting(now.wall)
    host_room = max(
        (found.announced.room.cpu for found in scheduler.sessions.values()),
        default=0,
    )
    demands: dict[PoolName, PoolDemand] = {}
    for name, service in scheduler.state.manifest.services.items():
        jobs = waiting.get(name, [])
        usable = scheduler.get_usable(name, now)
        by_job = _get_usable_room(scheduler, name, jobs, now)
        demands[PoolName(name)] = PoolDemand(
            pool=PoolName(name),
            is_standby=service.is_standby,
            usable=round(sum(by_job.values())),
            largest=round(max(by_job.values(), default=0)),
            room=sum(map(_get_room, usable)),
            host_room=max(map(_get_whole_room, usable), default=host_room),
            homeless=sum(map(_count_lasting, jobs))
            + sum(_find_displaced(scheduler, name, now)),
            free=sum(session.get_free().cpu for session in usable),
            waiting_tasks=sum(map(_count_tasks, jobs)),
            oldest_wait=max(
                (now.wall - found.job.accepted_at for found in jobs),
                default=0,
            ),
        )
    return demands


def _get_usable_room(
    scheduler: Scheduler,
    service: ServiceName,
    waiting: list[WaitingJob],
    now: Moment,
) -> 'Counter[JobId]':
    """Get the processor that the work of each job takes or could use."""
    by_job: Counter[JobId] = Counter()
    for session in scheduler.get_sessions(service):
        for run in session.runs.values():
            if not run.needs.fills and not run.needs.lasts:
                job = get_job(run.task)
                by_job[job] += run.needs.room.cpu
    for found in waiting:
        is_hopeless = scheduler.waiting.is_hopeless(found.job, now.wall)
        wanted = _get_wanted_room(found, is_hopeless=is_hopeless)
        by_job[found.job.spec.job] += wanted
    return by_job


def _get_wanted_room(found: WaitingJob, *, is_hopeless: bool) -> int:
    """Get the processor that the waiting tasks of a job could use."""
    needs = [
        (ready.phase.needs, len(ready.tasks))
        for ready in found.phases
        if not ready.phase.needs.fills and not ready.phase.needs.lasts
    ]
    wanted = sum(need.room.cpu * count for need, count in needs)
    if not is_hopeless:
        return wanted
    work = sum(
        need.room.cpu * count * need.estimate_seconds for need, count in needs
    )
    return min(wanted, round(max(work, 0) / _LATE_SECONDS))


def _get_whole_room(session: WorkerSession) -> int:
    return session.announced.room.cpu


def _get_room(session: WorkerSession) -> int:
    """Get the room that work which ends by itself can have."""
    lasting = sum(
        run.needs.room.cpu
        for run in session.runs.values()
        if run.needs.lasts and not run.needs.fills
    )
    return session.announced.room.cpu - lasting


def _count_tasks(found: WaitingJob) -> int:
    return sum(len(ready.tasks) for ready in found.phases)


def _count_lasting(found: WaitingJob) -> int:
    """Count the lasting tasks that wait; there is no room for them."""
    return sum(
        len(ready.tasks)
        for ready in found.phases
        if ready.phase.needs.lasts and not ready.phase.needs.fills
    )


def _find_displaced(
    scheduler: Scheduler,
    service: ServiceName,
    now: Moment,
) -> Iterator[bool]:
    """Find the lasting runs that have to leave and have no place to go."""
    for session in scheduler.get_sessions(service):
        if session.is_reserved or session.announced.is_leaving:
            yield any(
                run.needs.lasts
                and not has_place_elsewhere(scheduler, session, run, now)
                for run in session.runs.values()
            )
