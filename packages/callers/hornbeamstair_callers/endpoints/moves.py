"""Endpoint that moves hosts between pools while this process leads."""

from asyncio import gather
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, field

from hornbeamstair_callers.endpoints.host_list import HostList
from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.evacuation import get_loads
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.events import HostOrderedEvent
from hornbeamstair_fleet.moves.messages import Move, MoveBegun, MoveEnded
from hornbeamstair_fleet.moves.planner import MovePlanner, PoolView
from hornbeamstair_fleet.moves.table import MoveTable
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    HostState,
)
from hornbeamstair_fleet.waves.table import WaveTable

__all__ = ('MoveKeeper',)

# A list this old shows where the hosts are that nobody moved since.
_LIST_SECONDS: Final = 3.0
# While hosts are on their way the list is read more often.
_MOVING_LIST_SECONDS: Final = 1.2
_REPEAT_SECONDS: Final = 1.5
# Outcomes of orders that changed nothing and will not.
_NOT_DONE: Final = frozenset(
    (HostOutcome.busy, HostOutcome.refused, HostOutcome.throttled),
)
# The room of each pool is logged so often.
_LOG_SECONDS: Final = 0.5


@define(eq=False)
class MoveKeeper:
    """Orders to move hosts, one at a time for each host."""

    holder: str
    table: MoveTable
    waves: WaveTable
    runner: WorkRunner
    hosts: HostList
    get_moment: Callable[[], Moment]
    planner: MovePlanner = field(factory=MovePlanner)
    logged_at: float = -1000

    async def carry_on(self, scheduler: Scheduler) -> None:
        """Settle the moves in progress and begin new ones."""
        is_moving = bool(self.table.begun)
        age = _MOVING_LIST_SECONDS if is_moving else _LIST_SECONDS
        if not await self.hosts.refresh(age):
            return
        await self._settle(scheduler)
        now = self.get_moment()
        view = PoolView(
            get_demands(scheduler, now),
            self.hosts.hosts,
            get_loads(scheduler),
            self.get_bound(),
        )
        planned = [
            move
            for move in self.planner.plan(view, now.steady)
            if self._reserve(scheduler, move)
        ]
        self._log_rooms(view, now.steady)
        if scheduler is self.runner.find_scheduler():
            await self.begin(planned)

    async def begin(self, moves: Sequence[Move]) -> None:
        """Record moves and order them."""
        if not moves:
            return
        committed = await self.runner.commit(tuple(map(MoveBegun, moves)))
        if committed.is_ok():
            begun = self.table.begun
            ours = [move for move in moves if begun.get(move.host) == move]
            await gather(*map(self._order, ours))

    def get_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may leave at any moment."""
        return self.table.get_workers()

    def get_moving(self) -> set[HostId]:
        """Get the hosts that are on their way, or soon will be."""
        return set(self.table.begun)

    def get_bound(self) -> dict[HostId, PoolName]:
        """Get the hosts that may not move now, and where they go.

        A host that waits for its maintenance may move: it is maintained
        wherever it is.
        """
        bound = {move.host: move.pool for move in self.table.begun.values()}
        for progress in self.waves.get_open():
            bound.update(dict.fromkeys(progress.get_down(), PoolName('')))
        return bound

    def get_short(self) -> set[PoolName]:
        """Get the pools that lack room."""
        return self.planner.short

    def _log_rooms(self, view: PoolView, now: float) -> None:
        if now - self.logged_at < _LOG_SECONDS:
            return
        self.logged_at = now
        for event in self.planner.describe(view):
            log_event(event)

    def _reserve(self, scheduler: Scheduler, move: Move) -> bool:
        """Keep new work off a host; tell whether it may move."""
        session = scheduler.sessions.get(move.worker)
        if session is None:
            # A host that is switched off has no worker.
            return not move.worker
        if session.is_reserved:
            # The host is kept free for its maintenance.
            return False
        # Something may have been placed since the plan was made.
        session.is_reserved = not session.runs
        return session.is_reserved

    async def _order(self, move: Move) -> None:
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return
        token = scheduler.fencing_token
        order = HostOrder(move.host, self.holder, token)
        outcome = await self.hosts.client.move(order, move.pool)
        self.hosts.note_order(move.host)
        log_event(
            HostOrderedEvent(
                move.host,
                move.worker,
                f'move to {move.pool}',
                outcome.value,
                token,
                len(self.table.begun),
            ),
        )
        if outcome == HostOutcome.done:
            scheduler.note_left(move.worker, self.get_moment())
        elif outcome in _NOT_DONE:
            if outcome == HostOutcome.refused:
                self.planner.note_refused(move.host, move.pool)
            await self.runner.commit((MoveEnded(move.host),))

    async def _settle(self, scheduler: Scheduler) -> None:
        """Find out from the list how far the moves are."""
        listed = [
            move
            for move in self.table.begun.values()
            if self.hosts.is_newer_than_order(move.host)
        ]
        ended = [MoveEnded(move.host) for move in listed if self._is_over(move)]
        if ended:
            await self.runner.commit(tuple(ended))
        lost = [move for move in listed if self._is_to_repeat(scheduler, move)]
        await gather(*map(self._order, lost))

    def _is_over(self, move: Move) -> bool:
        host = self.hosts.hosts.get(move.host)
        if host is None:
            return True
        return host.pool == move.pool and host.state == HostState.up

    def _is_to_repeat(self, scheduler: Scheduler, move: Move) -> bool:
        host = self.hosts.hosts.get(move.host)
        if host is None or host.pool == move.pool:
            return False
        if host.state != HostState.up or scheduler.has_runs(move.worker):
            return False
        return self.hosts.get_age_of_order(move.host) > _REPEAT_SECONDS
