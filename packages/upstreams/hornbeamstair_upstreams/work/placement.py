"""Choice of the worker for a task."""

from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from hornbeamstair_upstreams.work.effort import PlacementEffort
from hornbeamstair_upstreams.work.messages import Room, TaskNeeds
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_taken_room,
)

__all__ = ('Placement',)


@frozen
class _Demand:
    """All that decides whether a task fits on a worker."""

    room: Room
    label: str
    fills: bool
    is_serving: bool
    spread_limit: int
    group: str


@define(eq=False)
class Placement:
    """Workers of one service that may get new work now."""

    sessions: Sequence[WorkerSession]
    effort: PlacementEffort = field(factory=PlacementEffort)
    # Demands that no worker met since room was last given back.
    unmet: set[_Demand] = field(factory=set, init=False)

    def choose(self, needs: TaskNeeds, group: str) -> WorkerSession | None:
        """Choose a worker; None if the task has to wait.

        Workers that have to stay come first, then those with the least
        room left, so that others get idle and their hosts can go where they
        are needed.
        """
        demand = _get_demand(needs, group)
        if demand in self.unmet:
            return None
        self.effort.examined += len(self.sessions)
        fitting = [
            session for session in self.sessions if fits(session, needs, group)
        ]
        if not fitting:
            self.unmet.add(demand)
            return None
        near = self._get_near(fitting, needs, group)
        return max(near, key=_get_preference)

    def give_back(self, session: WorkerSession, run: Run) -> None:
        """Give back the room of a run that is not started after all."""
        session.remove_run(run.task)
        self.unmet.clear()

    def _get_near(
        self,
        fitting: list[WorkerSession],
        needs: TaskNeeds,
        group: str,
    ) -> list[WorkerSession]:
        rack = needs.data_rack
        if needs.one_rack and not rack:
            rack = _find_rack(self.sessions, group)
        near = [found for found in fitting if found.announced.rack == rack]
        return near or fitting


def fits(session: WorkerSession, needs: TaskNeeds, group: str) -> bool:
    """Tell whether a task may start on a worker now."""
    if not session.get_free().fits(get_taken_room(needs)):
        return False
    if not _has_label(session, needs):
        return False
    limit = needs.spread_limit
    if limit and session.count_group(group) >= limit:
        return False
    return not _would_disturb(session, needs)


def _get_demand(needs: TaskNeeds, group: str) -> _Demand:
    return _Demand(
        get_taken_room(needs),
        needs.label,
        fills=needs.fills,
        is_serving=bool(needs.target_seconds),
        spread_limit=needs.spread_limit,
        group=group if needs.spread_limit else '',
    )


def _has_label(session: WorkerSession, needs: TaskNeeds) -> bool:
    return not needs.label or needs.label in session.announced.labels


def _would_disturb(session: WorkerSession, needs: TaskNeeds) -> bool:
    """Tell whether a filling task would stand beside a serving one."""
    if needs.fills:
        return any(run.needs.target_seconds for run in session.runs.values())
    if needs.target_seconds:
        return any(run.needs.fills for run in session.runs.values())
    return False


def _find_rack(sessions: Iterable[WorkerSession], group: str) -> str:
    for session in sessions:
        if session.count_group(group):
            return session.announced.rack
    return ''


def _get_preference(session: WorkerSession) -> tuple[int, int, int, str]:
    free = session.get_free()
    worker = session.announced.worker
    return _get_tie(session), -free.cpu, -free.memory, worker


def _get_tie(session: WorkerSession) -> int:
    """Tell how much binds a host to its pool, in three steps."""
    runs = session.runs.values()
    has_lasting = any(run.needs.lasts for run in runs)
    return has_lasting + bool(runs)
