"""Choice of the worker for a task."""

from collections.abc import Iterable, Iterator

from attrs import define, field

from hornbeamstair_core.ids import RackName, ServiceName
from hornbeamstair_upstreams.work.effort import PlacementEffort
from hornbeamstair_upstreams.work.index import WorkerIndex, WorkerPool
from hornbeamstair_upstreams.work.messages import Room, TaskNeeds
from hornbeamstair_upstreams.work.room_order import RoomOrder
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_taken_room,
)

__all__ = ('Placement',)


# All but the room that decides whether a task fits on a worker.
_Kind = tuple[str, bool, bool, int, str]


@define(eq=False)
class Placement:
    """One pass over the work of a service, in which room only shrinks.

    Answers a full pool with much waiting work: one answer that nothing
    fits holds for all tasks of the kind that need no less.
    """

    index: WorkerIndex
    service: ServiceName
    now: float
    effort: PlacementEffort = field(factory=PlacementEffort)
    # Rooms that no worker had left, by the kind of task.
    unmet: dict[_Kind, list[Room]] = field(factory=dict, init=False)
    # Workers that may get no work, as they were found.
    closed: set[WorkerSession] = field(factory=set, init=False)

    def is_unmet(self, needs: TaskNeeds, group: str) -> bool:
        """Tell whether a task that needs no more found no room."""
        smaller = self.unmet.get(_get_kind(needs, group))
        if not smaller:
            return False
        room = get_taken_room(needs)
        return any(map(room.fits, smaller))

    def choose(
        self,
        needs: TaskNeeds,
        group: str,
        excluded: WorkerSession | None = None,
    ) -> WorkerSession | None:
        """Choose a worker; None if the task has to wait.

        Workers on the rack of the task's data come first.
        """
        if self.is_unmet(needs, group):
            return None
        pool = self.index.get_pool(self.service)
        for order in _get_orders(pool, needs, group):
            for session in self._find_fitting(order, needs, group):
                if session is not excluded:
                    return session
        if excluded is None:
            kind = _get_kind(needs, group)
            self.unmet.setdefault(kind, []).append(get_taken_room(needs))
        return None

    def give_back(self, session: WorkerSession, run: Run) -> None:
        """Give back the room of a run that is not started after all."""
        session.remove_run(run.task)
        self.unmet.clear()

    def _find_fitting(
        self,
        order: RoomOrder,
        needs: TaskNeeds,
        group: str,
    ) -> Iterator[WorkerSession]:
        for session in order.find_with(get_taken_room(needs)):
            if session in self.closed:
                continue
            self.effort.examined += 1
            if not session.may_start(self.now):
                self.closed.add(session)
            elif _fits(session, needs, group):
                yield session


def _get_orders(
    pool: WorkerPool,
    needs: TaskNeeds,
    group: str,
) -> Iterator[RoomOrder]:
    rack = needs.data_rack
    if needs.one_rack and not rack:
        rack = _find_rack(pool.placed, group)
    near = pool.racks.get(RackName(rack))
    if near is not None:
        yield near
    yield pool.order


def _fits(session: WorkerSession, needs: TaskNeeds, group: str) -> bool:
    """Tell whether a task may start on a worker now."""
    if not session.get_free().fits(get_taken_room(needs)):
        return False
    if needs.label and needs.label not in session.announced.labels:
        return False
    limit = needs.spread_limit
    if limit and session.count_group(group) >= limit:
        return False
    return not _would_disturb(session, needs)


def _get_kind(needs: TaskNeeds, group: str) -> _Kind:
    return (
        needs.label,
        needs.fills,
        bool(needs.target_seconds),
        needs.spread_limit,
        group if needs.spread_limit else '',
    )


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
