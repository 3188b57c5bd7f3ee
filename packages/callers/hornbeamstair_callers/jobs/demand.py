"""Waiting work and worker capacity of each service."""

import math
from collections import Counter
from collections.abc import Iterator
from typing import Final

from hornbeamstair_callers.jobs.draining import fits_elsewhere
from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_callers.jobs.startable import StartableWork
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_core.ids import JobId, PoolName, ServiceName
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('get_demands',)

# Backfill tasks that wait longer do not find a worker in their pool.
_MIN_BACKFILL_WAIT_SECONDS: Final = 0.5
# Time in which jobs that miss their objective should still be done.
_OVERDUE_WORK_SECONDS: Final = 5.0


def get_demands(
    scheduler: Scheduler,
    now: Moment,
) -> dict[PoolName, PoolDemand]:
    """Get the demand of each pool; a pool has the name of its service."""
    waiting = scheduler.waiting.get_waiting(now.wall)
    startable = StartableWork(scheduler.workspaces.quotas)
    demands: dict[PoolName, PoolDemand] = {}
    for name, service in scheduler.state.manifest.services.items():
        jobs = startable.select(waiting.get(name, []))
        usable = scheduler.get_usable_sessions(name, now)
        cpu_by_job = _get_usable_cpu(scheduler, name, jobs, now)
        demands[PoolName(name)] = PoolDemand(
            pool=PoolName(name),
            is_standby=service.is_standby,
            usable=round(sum(cpu_by_job.values())),
            largest=round(max(cpu_by_job.values(), default=0)),
            capacity=sum(map(_get_finite_work_cpu, usable)),
            host_capacity=max(
                map(_get_total_cpu, usable or scheduler.sessions.values()),
                default=0,
            ),
            unplaced=sum(map(_count_long_running, jobs))
            + _count_backfill_hosts(scheduler, jobs, now)
            + sum(_find_blocked_workers(scheduler, name, now)),
            free=sum(session.get_free_resources().cpu for session in usable),
            waiting_tasks=sum(map(_count_tasks, jobs)),
            oldest_wait=max(
                (
                    now.wall - waiting_job.job.accepted_at
                    for waiting_job in jobs
                ),
                default=0,
            ),
            waiting_work=sum(
                _get_waiting_work(scheduler, waiting_job)
                for waiting_job in jobs
                if not _is_late(scheduler, waiting_job, now)
            ),
            late=sum(
                _get_wanted_cpu(waiting_job, misses_objective=True)
                for waiting_job in jobs
                if _is_late(scheduler, waiting_job, now)
            ),
        )
    return demands


def _get_usable_cpu(
    scheduler: Scheduler,
    service: ServiceName,
    waiting: list[WaitingJob],
    now: Moment,
) -> 'Counter[JobId]':
    """Get the CPU that each job uses or could use."""
    cpu_by_job: Counter[JobId] = Counter()
    for session in scheduler.get_sessions(service):
        for run in session.runs.values():
            if not run.needs.fills and not run.needs.lasts:
                job = get_job_id(run.task)
                cpu_by_job[job] += run.needs.room.cpu
    for waiting_job in waiting:
        wanted_cpu = _get_wanted_cpu(
            waiting_job,
            misses_objective=_is_late(scheduler, waiting_job, now),
        )
        cpu_by_job[waiting_job.job.spec.job] += wanted_cpu
    return cpu_by_job


def _get_wanted_cpu(waiting_job: WaitingJob, *, misses_objective: bool) -> int:
    """Get the CPU that the waiting tasks of a job could use."""
    needs = [
        (ready.phase.needs, len(ready.tasks))
        for ready in waiting_job.phases
        if not ready.phase.needs.fills and not ready.phase.needs.lasts
    ]
    wanted_cpu = sum(task_needs.room.cpu * count for task_needs, count in needs)
    if not misses_objective:
        return wanted_cpu
    cpu_seconds = sum(
        task_needs.room.cpu * count * task_needs.estimate_seconds
        for task_needs, count in needs
    )
    return min(wanted_cpu, round(max(cpu_seconds, 0) / _OVERDUE_WORK_SECONDS))


def _is_late(
    scheduler: Scheduler, waiting_job: WaitingJob, now: Moment
) -> bool:
    return scheduler.waiting.misses_objective(waiting_job.job, now.wall)


def _get_waiting_work(scheduler: Scheduler, waiting_job: WaitingJob) -> float:
    """Get the finite work of a job that waits."""
    run_times = scheduler.policies.run_times
    queue = waiting_job.job.queue
    return sum(
        len(ready.tasks)
        * ready.phase.needs.room.cpu
        * run_times.get_seconds(queue, ready.phase.needs)
        for ready in waiting_job.phases
        if not ready.phase.needs.fills and not ready.phase.needs.lasts
    )


def _get_total_cpu(session: WorkerSession) -> int:
    return session.announced.room.cpu


def _get_finite_work_cpu(session: WorkerSession) -> int:
    """Get the CPU of a worker that is not taken by long-running tasks."""
    long_running_cpu = sum(
        run.needs.room.cpu
        for run in session.runs.values()
        if run.needs.lasts and not run.needs.fills
    )
    return session.announced.room.cpu - long_running_cpu


def _count_tasks(waiting_job: WaitingJob) -> int:
    return sum(len(ready.tasks) for ready in waiting_job.phases)


def _count_long_running(waiting_job: WaitingJob) -> int:
    """Count the waiting long-running tasks; they do not fit anywhere."""
    return sum(
        len(ready.tasks)
        for ready in waiting_job.phases
        if ready.phase.needs.lasts and not ready.phase.needs.fills
    )


def _count_backfill_hosts(
    scheduler: Scheduler,
    waiting: list[WaitingJob],
    now: Moment,
) -> int:
    """Count the hosts that the waiting backfill tasks need.

    They take no CPU of the pool, but no worker with serving runs takes them.
    A host of unknown labels would not help a task that needs a label.
    """
    phases = [
        ready
        for waiting_job in waiting
        for ready in waiting_job.phases
        if ready.phase.needs.fills
        and not ready.phase.needs.label
        and scheduler.waiting.get_wait_seconds(ready, now.wall)
        >= _MIN_BACKFILL_WAIT_SECONDS
    ]
    if not phases:
        return 0
    host_memory = max(
        (
            session.announced.room.memory
            for session in scheduler.sessions.values()
        ),
        default=0,
    )
    memory = sum(
        ready.phase.needs.room.memory * len(ready.tasks) for ready in phases
    )
    spread_hosts = (
        len(ready.tasks) / ready.phase.needs.spread_limit
        for ready in phases
        if ready.phase.needs.spread_limit
    )
    hosts = max((memory / max(host_memory, 1), *spread_hosts))
    return max(math.ceil(hosts), 1)


def _find_blocked_workers(
    scheduler: Scheduler,
    service: ServiceName,
    now: Moment,
) -> Iterator[bool]:
    """Yield whether each worker to be drained has a run that fits nowhere."""
    for session in scheduler.get_sessions(service):
        if session.is_reserved or session.announced.is_leaving:
            yield any(
                run.needs.lasts
                and not fits_elsewhere(scheduler, session, run, now)
                for run in session.runs.values()
            )
