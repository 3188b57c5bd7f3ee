"""Work that waits for each service, and the room that it has."""

from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_callers.jobs.waiting import WaitingJob
from hornbeamstair_core.ids import PoolName, ServiceName
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.moves.messages import PoolDemand

__all__ = ('get_demands',)


def get_demands(
    scheduler: Scheduler,
    now: Moment,
) -> dict[PoolName, PoolDemand]:
    """Get the demand of each service; its pool has the service's name."""
    waiting = scheduler.waiting.get_waiting(now.wall)
    return {
        PoolName(name): _get_demand(
            scheduler,
            name,
            waiting.get(name, []),
            is_standby=service.is_standby,
            arriving=round(scheduler.arrivals.get_rate(name, now.wall)),
            now=now,
        )
        for name, service in scheduler.state.manifest.services.items()
    }


def _get_demand(
    scheduler: Scheduler,
    service: ServiceName,
    waiting: list[WaitingJob],
    *,
    is_standby: bool,
    arriving: int,
    now: Moment,
) -> PoolDemand:
    usable = scheduler.get_usable(service, now)
    room = sum(session.announced.room.cpu for session in usable)
    cores = 0
    work = float(0)
    for found in waiting:
        for ready in found.phases:
            needs = ready.phase.needs
            if needs.fills:
                continue
            phase_cores = needs.room.cpu * len(ready.tasks)
            cores += phase_cores
            work += phase_cores * max(needs.estimate_seconds, 0)
    return PoolDemand(
        pool=PoolName(service),
        is_standby=is_standby,
        waiting=cores,
        drain_seconds=work / max(room, 1),
        free=sum(session.get_free().cpu for session in usable),
        room=room,
        arriving=arriving,
    )
