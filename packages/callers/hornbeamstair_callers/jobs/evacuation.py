"""Decision which lasting runs leave a worker that is to be freed."""

from collections.abc import Collection, Iterator

from hornbeamstair_callers.jobs.messages import parse_task_id
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.waves.planner import HostLoad
from hornbeamstair_upstreams.work.placement import Placement
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('free_workers', 'get_loads', 'has_place_elsewhere')

_WHOLE_PERCENT = 100
# A lasting run has to be started elsewhere before its host is free.
_LASTING_SECONDS = 8.0


def get_loads(scheduler: Scheduler) -> dict[WorkerId, HostLoad]:
    """Get what runs on each worker."""
    return {
        worker: HostLoad(
            len(session.runs),
            max(map(_get_rest, session.runs.values()), default=0),
            any(run.needs.lasts for run in session.runs.values()),
        )
        for worker, session in scheduler.sessions.items()
    }


def free_workers(
    scheduler: Scheduler,
    reserved: Collection[WorkerId],
    urgent: Collection[WorkerId],
    now: Moment,
) -> None:
    """Keep new work off some workers and have lasting runs leave them.

    A lasting run is stopped only while enough others of its phase are at
    work and another worker has room for it.
    """
    for worker, session in scheduler.sessions.items():
        session.is_reserved = worker in reserved
        if session.is_reserved or session.announced.is_leaving:
            for run in list(session.runs.values()):
                is_urgent = worker in urgent
                if _is_to_stop(scheduler, session, run, is_urgent, now):
                    session.want_stop(run)


def has_place_elsewhere(
    scheduler: Scheduler,
    session: WorkerSession,
    run: Run,
    now: Moment,
) -> bool:
    """Tell whether another worker has room for a run."""
    placement = Placement(
        scheduler.index,
        session.announced.service,
        now.steady,
    )
    return placement.choose(run.needs, run.group, session) is not None


def _is_to_stop(
    scheduler: Scheduler,
    session: WorkerSession,
    run: Run,
    is_urgent: bool,
    now: Moment,
) -> bool:
    if run.is_stop_wanted or run.state != RunState.running:
        return False
    if run.needs.lasts:
        return _may_leave(scheduler, session, run, now)
    return is_urgent


def _get_rest(run: Run) -> float:
    if run.needs.lasts:
        return _LASTING_SECONDS
    return run.needs.estimate_seconds * (1 - run.percent / _WHOLE_PERCENT)


def _may_leave(
    scheduler: Scheduler,
    session: WorkerSession,
    run: Run,
    now: Moment,
) -> bool:
    if not has_place_elsewhere(scheduler, session, run, now):
        return False
    if run.needs.max_away is None or session.announced.is_leaving:
        return True
    place = parse_task_id(run.task)
    job = scheduler.state.jobs.jobs.get(place.key.job)
    if job is None:
        return True
    wanted = job.spec.phases[place.key.phase].count
    at_work = sum(1 for _ in _get_at_work(scheduler, run.group, now))
    # The run itself is at work or not; it is about to be away.
    return wanted - at_work < run.needs.max_away


def _get_at_work(
    scheduler: Scheduler,
    group: str,
    now: Moment,
) -> Iterator[Run]:
    stopping = scheduler.terms.stopping
    for session in scheduler.sessions.values():
        # The runs of a silent worker may have ended long ago, and those of a
        # leaving one end in any case.
        is_sure = session.is_reached(now.steady)
        is_sure = is_sure and not session.announced.is_leaving
        runs = session.runs.values() if is_sure else ()
        yield from (
            run
            for run in runs
            if run.group == group and _is_at_work(run, now, stopping)
        )


def _is_at_work(run: Run, now: Moment, stopping: float) -> bool:
    if run.state != RunState.running or run.is_stop_wanted:
        return False
    # An earlier holder may have told the run to stop just before.
    if run.settled_at is None or run.settled_at + stopping > now.steady:
        return False
    return run.percent >= _WHOLE_PERCENT
