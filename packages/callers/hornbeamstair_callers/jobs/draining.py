"""Decision which runs to stop on workers that are to be drained."""

from collections.abc import Collection

from hornbeamstair_callers.jobs.availability import PhaseAvailability
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.waves.planner import HostLoad
from hornbeamstair_upstreams.work.drain_stops import request_drain_stop
from hornbeamstair_upstreams.work.placement import Placement
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('drain_workers', 'get_loads', 'fits_elsewhere', 'is_answering')

_COMPLETE_PERCENT = 100
# Estimated time until a long-running run is restarted elsewhere, which must
# happen before its host is free.
_LONG_RUNNING_MOVE_SECONDS = 8.0


def get_loads(scheduler: Scheduler) -> dict[WorkerId, HostLoad]:
    """Get the load of each worker, and of unknown ones with inherited runs."""
    runs_by_worker: dict[WorkerId, Collection[Run]] = {
        worker: session.runs.values()
        for worker, session in scheduler.sessions.items()
    }
    runs_by_worker.update(scheduler.inherited.runs_by_worker)
    return {
        worker: HostLoad(
            len(runs),
            max(map(_get_remaining_seconds, runs), default=0),
            any(run.needs.lasts for run in runs),
        )
        for worker, runs in runs_by_worker.items()
    }


def is_answering(session: WorkerSession, now: Moment) -> bool:
    """Return whether a worker answers, which shows that it is on its host."""
    has_ended = session.terminated_at is not None
    return session.is_responsive(now.monotonic) and not has_ended


def drain_workers(
    scheduler: Scheduler,
    reserved: Collection[WorkerId],
    urgent: Collection[WorkerId],
    now: Moment,
) -> None:
    """Reserve workers and stop runs on reserved or leaving workers.

    A long-running run is stopped only while enough others of its phase are
    running and it fits on another worker. Other runs are stopped only on
    urgent workers.
    """
    _update_reserved(scheduler, reserved)
    for session in scheduler.index.get_draining():
        is_urgent = session.announced.worker in urgent
        for run in list(session.runs.values()):
            if _should_stop(scheduler, session, run, is_urgent, now):
                request_drain_stop(session, run)


def fits_elsewhere(
    scheduler: Scheduler,
    session: WorkerSession,
    run: Run,
    now: Moment,
) -> bool:
    """Return whether a run fits on another worker."""
    placement = Placement(
        scheduler.index,
        session.announced.service,
        now.monotonic,
    )
    return placement.choose(run.needs, run.phase_id, session) is not None


def _update_reserved(
    scheduler: Scheduler,
    reserved: Collection[WorkerId],
) -> None:
    for draining in scheduler.index.get_draining():
        if draining.announced.worker not in reserved:
            draining.is_reserved = False
    for worker in reserved:
        scheduler.reserve(worker)


def _should_stop(
    scheduler: Scheduler,
    session: WorkerSession,
    run: Run,
    is_urgent: bool,
    now: Moment,
) -> bool:
    if run.is_stop_requested or run.state != RunState.running:
        return False
    if run.needs.lasts:
        return _may_drain(scheduler, session, run, now)
    return is_urgent


def _get_remaining_seconds(run: Run) -> float:
    if run.needs.lasts:
        return _LONG_RUNNING_MOVE_SECONDS
    return run.needs.estimate_seconds * (1 - run.percent / _COMPLETE_PERCENT)


def _may_drain(
    scheduler: Scheduler,
    session: WorkerSession,
    run: Run,
    now: Moment,
) -> bool:
    if not fits_elsewhere(scheduler, session, run, now):
        return False
    if session.announced.is_leaving:
        return True
    availability = PhaseAvailability(
        scheduler.index, scheduler.state.jobs, scheduler.terms
    )
    return availability.may_interrupt(run, now)
