"""Endpoint that moves hosts between pools while this process leads."""

from asyncio import gather
from collections.abc import Callable, Collection, Sequence
from typing import Final

from attrs import define, field

from hornbeamstair_callers.endpoints.host_list import (
    FRESH_LIST_SECONDS,
    HostList,
)
from hornbeamstair_callers.jobs.arrivals import ArrivalIndex
from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.draining import get_loads, is_answering
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.events import HostOrderedEvent
from hornbeamstair_fleet.moves.messages import Move, MoveFinished, MoveStarted
from hornbeamstair_fleet.moves.planner import MovePlanner
from hornbeamstair_fleet.moves.table import MoveTable
from hornbeamstair_fleet.moves.views import PoolView
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    HostState,
)
from hornbeamstair_fleet.waves.table import WaveTable
from hornbeamstair_upstreams.work.sender import ORDER_VALID_SECONDS

__all__ = ('MoveController',)

# Maximum age of the host list while no host is moving: an old list still shows
# the right pool of a host that was not moved since.
_LIST_SECONDS: Final = 3.0
# Maximum age of the host list while hosts are moving.
_MOVING_LIST_SECONDS: Final = 1.2
# Time after which an order without visible effect is sent again.
_RESEND_SECONDS: Final = 1.5
# Outcomes of orders that had no effect and will have none.
_NO_EFFECT: Final = frozenset(
    (HostOutcome.busy, HostOutcome.refused, HostOutcome.throttled),
)
# The same of orders that were sent again: if the platform throttles one or is
# busy with the host, the order before may have been executed all the same.
_NO_EFFECT_REPEATED: Final = frozenset((HostOutcome.refused,))
# Workers that the plans look at in a second: at 10 us each they take 3% of the
# event loop, however large the fleet is.
_PLANNED_WORKERS_PER_SECOND: Final = 3000
# Interval at which the capacity of each pool is logged.
_LOG_SECONDS: Final = 0.5


@define(eq=False)
class MoveController:
    """Controller of moves, with one order at a time for each host."""

    leader_name: str
    table: MoveTable
    waves: WaveTable
    runner: WorkRunner
    hosts: HostList
    get_moment: Callable[[], Moment]
    planner: MovePlanner = field(factory=MovePlanner)
    arrivals: ArrivalIndex = field(factory=ArrivalIndex)
    last_logged_at: float = -1000
    # Workers that get no new runs, so that their hosts can move.
    draining: set[WorkerId] = field(factory=set)
    planned_at: float = -1000

    async def reconcile(self, scheduler: Scheduler) -> None:
        """Update the moves in progress and start new ones."""
        is_moving = bool(self.table.in_progress)
        max_age = _MOVING_LIST_SECONDS if is_moving else _LIST_SECONDS
        if not await self.hosts.refresh(max_age):
            return
        await self._update_moves(scheduler)
        now = self.get_moment()
        self.arrivals.update(scheduler, now)
        interval = len(scheduler.sessions) / _PLANNED_WORKERS_PER_SECOND
        if now.monotonic - self.planned_at < interval:
            return
        self.planned_at = now.monotonic
        view = PoolView(
            get_demands(scheduler, now),
            self.hosts.hosts,
            get_loads(scheduler),
            self.get_hosts_in_progress(),
            self.arrivals.arrivals,
        )
        planned = [
            move
            for move in self.planner.plan(view, now.monotonic)
            if self._reserve(scheduler, move)
        ]
        self._drain(scheduler)
        self._log_capacity(view, now.monotonic)
        if scheduler is self.runner.find_scheduler():
            await self.start_moves(planned)

    async def start_moves(self, moves: Sequence[Move]) -> None:
        """Record moves and send their orders."""
        if not moves:
            return
        committed = await self.runner.commit(tuple(map(MoveStarted, moves)))
        if committed.is_ok():
            in_progress = self.table.in_progress
            recorded = [
                move for move in moves if in_progress.get(move.host) == move
            ]
            await self._send_orders(recorded, _NO_EFFECT)

    def get_ordered_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts are moved at any moment, or once idle.

        A host that has not moved yet may have another worker since the order.
        """
        listed = {
            self.hosts.hosts[move.host].worker
            for move in self.table.in_progress.values()
            if self._is_listed_elsewhere(move)
        }
        return self.table.get_ordered_workers() | listed | self.draining

    def get_moving_hosts(self) -> set[HostId]:
        """Get the hosts whose move is in progress."""
        return set(self.table.in_progress)

    def get_hosts_in_progress(self) -> dict[HostId, PoolName]:
        """Get the hosts that must not move now, with their target pools.

        A host that waits for its maintenance may move, since it can be
        maintained in any pool.
        """
        in_progress = {
            move.host: move.pool for move in self.table.in_progress.values()
        }
        for progress in self.waves.get_incomplete():
            in_progress.update(
                dict.fromkeys(progress.get_down_hosts(), PoolName(''))
            )
        return in_progress

    def get_short_pools(self) -> set[PoolName]:
        """Get the pools that are short of capacity."""
        return self.planner.short_pools

    def _log_capacity(self, view: PoolView, now: float) -> None:
        if now - self.last_logged_at < _LOG_SECONDS:
            return
        self.last_logged_at = now
        for event in self.planner.get_events(view):
            log_event(event)

    def _drain(self, scheduler: Scheduler) -> None:
        """Reserve the busy workers whose hosts are to move once idle."""
        chosen = {
            self.hosts.hosts[host].worker
            for host in self.planner.draining
            if host in self.hosts.hosts
        }
        # Workers that are reserved already leave for another reason.
        self.draining = {
            worker
            for worker in chosen & scheduler.sessions.keys()
            if worker in self.draining
            or not scheduler.sessions[worker].is_reserved
        }
        for worker in self.draining:
            scheduler.reserve(worker)

    def _reserve(self, scheduler: Scheduler, move: Move) -> bool:
        """Reserve the worker of a host; return whether the host may move."""
        session = scheduler.sessions.get(move.worker)
        if session is None:
            # A host that is switched off has no worker.
            return not move.worker
        if session.is_reserved and move.worker not in self.draining:
            # The worker is reserved for the maintenance of its host.
            return False
        is_certain = self.hosts.get_age() <= FRESH_LIST_SECONDS
        if not is_certain and not is_answering(session, self.get_moment()):
            # The host may have another worker, with runs, since it was listed.
            return False
        # A run may have been placed since the plan was made.
        session.is_reserved = not session.runs
        return session.is_reserved

    async def _send_orders(
        self,
        moves: Sequence[Move],
        no_effect: Collection[HostOutcome],
    ) -> None:
        """Send the orders of moves; end those whose outcome has no effect."""
        await gather(*(self._send_order(move, no_effect) for move in moves))

    async def _send_order(
        self,
        move: Move,
        no_effect: Collection[HostOutcome],
    ) -> None:
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return
        token = scheduler.fencing_token
        valid_until = self.get_moment().monotonic + ORDER_VALID_SECONDS
        order = HostOrder(move.host, self.leader_name, token, valid_until)
        outcome = await self.hosts.client.move(order, move.pool)
        self.hosts.update_order_time(move.host)
        log_event(
            HostOrderedEvent(
                move.host,
                move.worker,
                f'move to {move.pool}',
                outcome.value,
                token,
                len(self.table.in_progress),
            ),
        )
        if outcome == HostOutcome.done:
            scheduler.handle_withdrawal(move.worker, self.get_moment())
        elif outcome in no_effect:
            if outcome == HostOutcome.refused:
                self.planner.add_refusal(move.host, move.pool)
            await self.runner.commit((MoveFinished(move.host),))

    async def _update_moves(self, scheduler: Scheduler) -> None:
        """Finish completed moves and resend lost orders, based on the list."""
        listed = [
            move
            for move in self.table.in_progress.values()
            if self.hosts.is_newer_than_order(move.host)
        ]
        finished = [
            MoveFinished(move.host)
            for move in listed
            if self._is_finished(move)
        ]
        if finished:
            await self.runner.commit(tuple(finished))
        lost = [move for move in listed if self._should_resend(scheduler, move)]
        for move in lost:
            scheduler.reserve(self.hosts.hosts[move.host].worker)
        await self._send_orders(lost, _NO_EFFECT_REPEATED)

    def _is_finished(self, move: Move) -> bool:
        host = self.hosts.hosts.get(move.host)
        if host is None:
            return self.hosts.is_removed(move.host)
        return host.pool == move.pool and host.state == HostState.up

    def _is_listed_elsewhere(self, move: Move) -> bool:
        """Return whether a host is listed, but not in the pool of its move."""
        host = self.hosts.hosts.get(move.host)
        return host is not None and host.pool != move.pool

    def _should_resend(self, scheduler: Scheduler, move: Move) -> bool:
        if not self._is_listed_elsewhere(move):
            return False
        host = self.hosts.hosts[move.host]
        if host.state != HostState.up or scheduler.has_runs(move.worker):
            return False
        if scheduler.has_runs(host.worker):
            return False
        return self.hosts.get_seconds_since_order(move.host) > _RESEND_SECONDS
