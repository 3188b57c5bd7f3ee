"""Endpoint that carries out maintenance waves while this process leads."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable, Sequence
from types import MappingProxyType
from typing import Final

from attrs import define, evolve, field

from hornbeamstair_callers.endpoints.host_list import HostList
from hornbeamstair_callers.endpoints.moves import MoveKeeper
from hornbeamstair_callers.jobs.evacuation import free_workers, get_loads
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import HostId, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_fleet.events import HostOrderedEvent
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    HostState,
    ListedHost,
    MaintenanceBegun,
    MaintenanceDone,
)
from hornbeamstair_fleet.waves.planner import WavePlan, WavePlanner
from hornbeamstair_fleet.waves.table import (
    HostStep,
    WaveProgress,
    WaveTable,
)

__all__ = ('MaintenanceKeeper',)

_PASS_SECONDS: Final = 0.2
# Each reading has its price; a host is down for longer than this.
_LIST_SECONDS: Final = 1.2
_REPEAT_SECONDS: Final = 1.5
# Maintenance and the lag of the list together take less.
_BACK_SECONDS: Final = 4.0
# A list that misses a host for a moment does not prove that it is gone.
_ABSENT_SECONDS: Final = 6.0


@define(eq=False)
class MaintenanceKeeper:
    """Orders of waves, one at a time for each host.

    Records and orders of one pass go out together: a host after the other
    would take the whole time of a large wave.
    """

    holder: str
    table: WaveTable
    runner: WorkRunner
    hosts: HostList
    get_moment: Callable[[], Moment]
    moves: MoveKeeper
    planner: WavePlanner = field(factory=WavePlanner)
    keeping: 'Task[None] | None' = None

    def start(self) -> None:
        """Carry out waves whenever this process leads."""
        self.keeping = create_task(self._keep())

    def stop(self) -> None:
        """Give no more orders."""
        if self.keeping is not None:
            self.keeping.cancel()

    def get_hosts(self) -> tuple[ListedHost, ...]:
        """Get the hosts as the platform listed them last."""
        return tuple(self.hosts.hosts.values())

    async def carry_on_all(self, scheduler: Scheduler) -> None:
        """Carry on all waves and moves."""
        waves = list(self.table.get_open())
        if waves:
            has_list = await self.hosts.refresh(_LIST_SECONDS)
            if has_list and scheduler is self.runner.find_scheduler():
                await self._carry_on(scheduler, waves)
        else:
            self._free(scheduler, [])
        if scheduler is self.runner.find_scheduler():
            await self.moves.carry_on(scheduler)

    async def _keep(self) -> None:
        while True:
            scheduler = self.runner.find_scheduler()
            if scheduler is not None:
                await self.carry_on_all(scheduler)
            await sleep(_PASS_SECONDS)

    async def _carry_on(
        self,
        scheduler: Scheduler,
        waves: list[WaveProgress],
    ) -> None:
        plans: list[WavePlan] = []
        for progress in waves:
            if scheduler is not self.runner.find_scheduler():
                return
            await self._settle(progress)
            loads = get_loads(scheduler)
            now = self.get_moment()
            plans.append(
                self.planner.plan(
                    progress,
                    self._get_placed_hosts(),
                    loads,
                    now,
                    self.moves.get_short(),
                ),
            )
        self._free(scheduler, plans)
        for wave, plan in zip(waves, plans, strict=True):
            if scheduler is not self.runner.find_scheduler():
                # The log would forward the records to the next leader.
                return
            await self._begin(scheduler, wave, plan.ordered)

    async def _settle(self, progress: WaveProgress) -> None:
        """Find out from the list how far the hosts are."""
        listed = [
            (host_id, step)
            for host_id, step in progress.steps.items()
            if step != HostStep.over and self.hosts.is_newer_than_order(host_id)
        ]
        found = [
            (host_id, step, self._find_step(progress, host_id, step))
            for host_id, step in listed
        ]
        await self._commit(
            [
                _make_done(progress, host_id, later)
                for host_id, step, later in found
                if later != step
            ],
        )
        await self._repeat(progress)

    def _find_step(
        self,
        progress: WaveProgress,
        host_id: HostId,
        step: HostStep,
    ) -> HostStep:
        """Find out from the list how far a host is."""
        host = self.hosts.hosts.get(host_id)
        if host is None:
            # The host was taken away.
            is_gone = self.hosts.get_absence(host_id) > _ABSENT_SECONDS
            return HostStep.over if is_gone else step
        if step == HostStep.ordered and host.state == HostState.maintenance:
            return HostStep.taken
        if step == HostStep.taken:
            age = self.hosts.get_age_of_order(host_id)
            if _is_back(progress, host, is_late=age > _BACK_SECONDS):
                return HostStep.over
        return step

    async def _repeat(self, progress: WaveProgress) -> None:
        """Give the orders again that had no clear answer."""
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return
        unsure = [
            self.hosts.hosts[host_id]
            for host_id in progress.get_hosts(HostStep.ordered)
            if host_id in self.hosts.hosts
        ]
        due = [
            host
            for host in unsure
            if self.hosts.get_age_of_order(host.host) > _REPEAT_SECONDS
            and not scheduler.has_runs(host.worker)
        ]
        await self._order(progress, due)

    def _get_placed_hosts(self) -> dict[HostId, ListedHost]:
        """Get the hosts; the list may show one that moves where it was."""
        moving = self.moves.get_moving()
        return {
            host_id: evolve(host, state=HostState.moving)
            if host_id in moving
            else host
            for host_id, host in self.hosts.hosts.items()
        }

    def _free(self, scheduler: Scheduler, plans: list[WavePlan]) -> None:
        # An order in progress may yet be carried out.
        reserved = self.table.get_workers() | self.moves.get_workers()
        urgent: set[WorkerId] = set()
        for plan in plans:
            reserved.update(plan.reserved)
            urgent.update(plan.urgent)
        free_workers(scheduler, reserved, urgent, self.get_moment())

    async def _begin(
        self,
        scheduler: Scheduler,
        progress: WaveProgress,
        planned: Sequence[ListedHost],
    ) -> None:
        # Something may have been placed since the plan was made.
        free = [host for host in planned if not scheduler.has_runs(host.worker)]
        room = progress.wave.max_down - progress.count_down()
        begun = free[: max(room, 0)]
        wave = progress.wave.number
        is_committed = await self._commit(
            [MaintenanceBegun(wave, host.host, host.worker) for host in begun],
        )
        if is_committed and scheduler is self.runner.find_scheduler():
            ordered = set(progress.get_hosts(HostStep.ordered))
            await self._order(
                progress,
                [host for host in begun if host.host in ordered],
            )

    async def _order(
        self,
        progress: WaveProgress,
        hosts: Sequence[ListedHost],
    ) -> None:
        """Give orders about hosts and record what became of them."""
        outcomes = await gather(
            *(self._order_host(progress, host) for host in hosts),
        )
        await self._commit(
            [
                _make_done(progress, host.host, step)
                for host, step in zip(hosts, outcomes, strict=True)
                if step != HostStep.ordered
            ],
        )

    async def _order_host(
        self,
        progress: WaveProgress,
        host: ListedHost,
    ) -> HostStep:
        """Give an order about a host; tell how far the host is then."""
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return HostStep.ordered
        outcome = await self.hosts.client.maintain(
            HostOrder(
                host.host,
                self.holder,
                scheduler.fencing_token,
            ),
            progress.wave.number,
        )
        now = self.get_moment()
        self.hosts.note_order(host.host)
        log_event(
            HostOrderedEvent(
                host.host,
                host.worker,
                'maintain',
                outcome.value,
                scheduler.fencing_token,
                progress.count_down(),
            ),
        )
        if outcome == HostOutcome.done:
            scheduler.note_left(host.worker, now)
        return _STEPS.get(outcome, HostStep.ordered)

    async def _commit(self, records: Sequence[Record]) -> bool:
        """Commit records, if any; tell whether it was done."""
        if not records:
            return False
        committed = await self.runner.commit(tuple(records))
        return committed.is_ok()


# How far a host is after an order; after any other outcome it is not known.
_STEPS: Final = MappingProxyType(
    {
        HostOutcome.done: HostStep.taken,
        HostOutcome.busy: HostStep.waiting,
        HostOutcome.refused: HostStep.waiting,
        HostOutcome.throttled: HostStep.waiting,
    },
)


def _make_done(
    progress: WaveProgress,
    host: HostId,
    step: HostStep,
) -> MaintenanceDone:
    is_over = step == HostStep.over
    return MaintenanceDone(
        progress.wave.number,
        host,
        is_taken=is_over or step == HostStep.taken,
        is_over=is_over,
    )


def _is_back(
    progress: WaveProgress,
    host: ListedHost,
    *,
    is_late: bool,
) -> bool:
    """Tell whether a host is up again with a new worker.

    A host that is switched off has no worker before or after. Only a
    host that the platform took down counts: a worker that crashes is
    replaced as well.
    """
    if host.state != HostState.up:
        return False
    before = progress.workers.get(host.host)
    return host.worker != before if before else is_late
