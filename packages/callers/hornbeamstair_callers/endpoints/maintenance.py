"""Endpoint that executes maintenance waves while this process leads."""

from asyncio import Task, create_task, gather
from collections.abc import Callable, Iterable, Sequence
from math import inf
from types import MappingProxyType
from typing import Final

from attrs import define, evolve, field

from hornbeamstair_callers.endpoints.host_list import (
    FRESH_LIST_SECONDS,
    HostList,
)
from hornbeamstair_callers.endpoints.moves import MoveController
from hornbeamstair_callers.jobs.draining import (
    drain_workers,
    get_loads,
    is_answering,
)
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.background import repeat
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
    MaintenanceStarted,
    MaintenanceUpdated,
)
from hornbeamstair_fleet.waves.planner import WavePlan, WavePlanner
from hornbeamstair_fleet.waves.table import (
    HostStep,
    WaveProgress,
    WaveTable,
)
from hornbeamstair_upstreams.work.sender import ORDER_VALID_SECONDS
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('MaintenanceController',)

_PASS_SECONDS: Final = 0.2
# Hosts that the plans of all waves look at in a second: at 3 us each they take
# 3% of the event loop, however large the fleet is.
_PLANNED_HOSTS_PER_SECOND: Final = 10000
# Maximum age of the host list: each read has a cost, and a host is down for
# longer than this.
_LIST_SECONDS: Final = 1.2
# Time after which an order without a clear outcome is sent again.
_RESEND_SECONDS: Final = 1.5
# Upper bound of a maintenance including the lag of the host list.
_MAX_MAINTENANCE_SECONDS: Final = 4.0


@define(eq=False)
class MaintenanceController:
    """Controller of waves, with one order at a time for each host.

    The records of a pass share a commit and its orders are sent concurrently:
    one host after the other would take the whole time of a large wave.
    """

    leader_name: str
    table: WaveTable
    runner: WorkRunner
    hosts: HostList
    get_moment: Callable[[], Moment]
    moves: MoveController
    planner: WavePlanner = field(factory=WavePlanner)
    task: 'Task[None] | None' = None

    def start(self) -> None:
        """Start to execute waves whenever this process leads."""
        self.task = create_task(repeat('waves and moves', self._run_pass))

    def stop(self) -> None:
        """Stop sending orders."""
        if self.task is not None:
            self.task.cancel()

    def get_hosts(self) -> tuple[ListedHost, ...]:
        """Get the hosts of the latest list."""
        return tuple(self.hosts.hosts.values())

    async def reconcile(self, scheduler: Scheduler) -> None:
        """Advance all waves and moves by one pass."""
        self.hosts.start_term(scheduler.fencing_token)
        waves = list(self.table.get_incomplete())
        if waves:
            has_list = await self.hosts.refresh(_LIST_SECONDS)
            if has_list and scheduler is self.runner.find_scheduler():
                await self._execute_waves(scheduler, waves)
        else:
            self._drain(scheduler, [])
        if scheduler is self.runner.find_scheduler():
            await self.moves.reconcile(scheduler)

    async def _run_pass(self) -> float:
        scheduler = self.runner.find_scheduler()
        if scheduler is not None:
            await self.reconcile(scheduler)
        return self._get_pass_seconds()

    def _get_pass_seconds(self) -> float:
        """Get the seconds until the next pass, which looks at all hosts."""
        waves = sum(1 for _ in self.table.get_incomplete())
        planned = len(self.hosts.hosts) * waves
        return max(_PASS_SECONDS, planned / _PLANNED_HOSTS_PER_SECOND)

    async def _execute_waves(
        self,
        scheduler: Scheduler,
        waves: list[WaveProgress],
    ) -> None:
        plans: list[WavePlan] = []
        for progress in waves:
            if scheduler is not self.runner.find_scheduler():
                return
            await self._update_steps(progress)
            loads = get_loads(scheduler)
            now = self.get_moment()
            plans.append(
                self.planner.plan(
                    progress,
                    self._get_effective_hosts(progress),
                    loads,
                    now,
                    self.moves.get_short_pools(),
                ),
            )
        self._drain(scheduler, plans)
        for wave, plan in zip(waves, plans, strict=True):
            if scheduler is not self.runner.find_scheduler():
                # The log would forward the records to the next leader.
                return
            await self._start_maintenance(scheduler, wave, plan.ordered)

    async def _update_steps(self, progress: WaveProgress) -> None:
        """Update the steps of the hosts from the list."""
        listed = [
            (host_id, step)
            for host_id, step in progress.steps.items()
            if step != HostStep.over and self.hosts.is_newer_than_order(host_id)
        ]
        steps = [
            (host_id, step, self._find_step(progress, host_id, step))
            for host_id, step in listed
        ]
        await self._commit(
            [
                _make_update(progress, host_id, new_step)
                for host_id, step, new_step in steps
                if new_step != step
            ],
        )
        await self._resend_orders(progress)

    def _find_step(
        self,
        progress: WaveProgress,
        host_id: HostId,
        step: HostStep,
    ) -> HostStep:
        """Find the step of a host from the list."""
        host = self.hosts.hosts.get(host_id)
        if host is None:
            # The host may have been removed from the platform.
            is_removed = self.hosts.is_removed(host_id)
            return HostStep.over if is_removed else step
        if step == HostStep.ordered and host.state == HostState.maintenance:
            # The list does not tell for which wave a host is down.
            is_ambiguous = self._is_down_for_another(progress, host_id)
            return step if is_ambiguous else HostStep.taken
        if step == HostStep.taken:
            elapsed = self.hosts.get_seconds_since_order(host_id)
            if _has_returned(
                progress, host, is_late=elapsed > _MAX_MAINTENANCE_SECONDS
            ):
                return HostStep.over
        return step

    async def _resend_orders(self, progress: WaveProgress) -> None:
        """Resend the orders without a clear outcome."""
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return
        unanswered = [
            self.hosts.hosts[host_id]
            for host_id in progress.get_hosts(HostStep.ordered)
            if host_id in self.hosts.hosts
        ]
        due = [
            host
            for host in unanswered
            if self.hosts.get_seconds_since_order(host.host) > _RESEND_SECONDS
            and not scheduler.has_runs(host.worker)
        ]
        for host in due:
            scheduler.reserve(host.worker)
        await self._send_orders(progress, due, is_repeated=True)

    def _get_effective_hosts(
        self,
        progress: WaveProgress,
    ) -> dict[HostId, ListedHost]:
        """Get the hosts as a wave may use them.

        The list may still show hosts as up that move or that are down for
        another wave.
        """
        hosts = dict(self.hosts.hosts)
        for host_id in self.moves.get_moving_hosts().intersection(hosts):
            hosts[host_id] = evolve(hosts[host_id], state=HostState.moving)
        for down_id in filter(hosts.get, self.table.get_down_hosts(progress)):
            down = evolve(hosts[down_id], state=HostState.maintenance)
            hosts[down_id] = down
        return hosts

    def _is_down_for_another(
        self,
        progress: WaveProgress,
        host_id: HostId,
    ) -> bool:
        return host_id in self.table.get_down_hosts(progress)

    def _drain(self, scheduler: Scheduler, plans: list[WavePlan]) -> None:
        # An order in progress may still be executed.
        reserved = (
            self.table.get_ordered_workers()
            | self.moves.get_ordered_workers()
            | self._get_listed_workers(self.table.get_ordered_hosts())
        )
        urgent: set[WorkerId] = set()
        for plan in plans:
            reserved.update(plan.reserved)
            urgent.update(plan.urgent)
        drain_workers(scheduler, reserved, urgent, self.get_moment())

    def _get_listed_workers(self, host_ids: Iterable[HostId]) -> set[WorkerId]:
        hosts = self.hosts.hosts
        return {
            hosts[host_id].worker for host_id in host_ids if host_id in hosts
        }

    async def _start_maintenance(
        self,
        scheduler: Scheduler,
        progress: WaveProgress,
        planned: Sequence[ListedHost],
    ) -> None:
        current = await self._find_current(scheduler, planned)
        if scheduler is not self.runner.find_scheduler():
            return
        # A run may have been placed since the plan was made.
        idle = [
            host
            for host in current
            if not scheduler.has_runs(host.worker)
            and not self._is_down_for_another(progress, host.host)
        ]
        allowed = progress.wave.max_down - progress.count_down_hosts()
        started = idle[: max(allowed, 0)]
        wave = progress.wave.number
        is_committed = await self._commit(
            [
                MaintenanceStarted(wave, host.host, host.worker)
                for host in started
            ],
        )
        if is_committed and scheduler is self.runner.find_scheduler():
            ordered = set(progress.get_hosts(HostStep.ordered))
            await self._send_orders(
                progress,
                [host for host in started if host.host in ordered],
            )

    async def _find_current(
        self,
        scheduler: Scheduler,
        planned: Sequence[ListedHost],
    ) -> list[ListedHost]:
        """Find the planned hosts that certainly have the worker of the plan.

        The host of a worker that does not answer may have another one, with
        runs, since it was listed.
        """
        now = self.get_moment()
        max_ages = {
            host.host: _get_max_age(scheduler.sessions.get(host.worker), now)
            for host in planned
        }
        await self.hosts.refresh(min(max_ages.values(), default=inf))
        age = self.hosts.get_age()
        return [
            host
            for host in planned
            if age <= max_ages[host.host]
            and self.hosts.hosts.get(host.host) == host
        ]

    async def _send_orders(
        self,
        progress: WaveProgress,
        hosts: Sequence[ListedHost],
        *,
        is_repeated: bool = False,
    ) -> None:
        """Send orders about hosts and record the steps of their outcomes."""
        outcomes = await gather(
            *(self._send_order(progress, host) for host in hosts),
        )
        steps = [
            (host, _find_step_after(host, outcome, is_repeated=is_repeated))
            for host, outcome in zip(hosts, outcomes, strict=True)
        ]
        await self._commit(
            [
                _make_update(progress, host.host, step)
                for host, step in steps
                if step != HostStep.ordered
            ],
        )

    async def _send_order(
        self,
        progress: WaveProgress,
        host: ListedHost,
    ) -> HostOutcome:
        """Send an order about a host; return its outcome."""
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return HostOutcome.unknown
        now = self.get_moment()
        outcome = await self.hosts.client.maintain(
            HostOrder(
                host.host,
                self.leader_name,
                scheduler.fencing_token,
                now.monotonic + ORDER_VALID_SECONDS,
            ),
            progress.wave.number,
        )
        self.hosts.update_order_time(host.host)
        log_event(
            HostOrderedEvent(
                host.host,
                host.worker,
                'maintain',
                outcome.value,
                scheduler.fencing_token,
                progress.count_down_hosts(),
            ),
        )
        if outcome == HostOutcome.done:
            # An order that was already executed ended this worker, not the one
            # that the host has since.
            before = progress.workers.get(host.host, host.worker)
            scheduler.handle_withdrawal(before, self.get_moment())
        return outcome

    async def _commit(self, records: Sequence[Record]) -> bool:
        """Commit records, if any; return whether they were committed."""
        if not records:
            return False
        committed = await self.runner.commit(tuple(records))
        return committed.is_ok()


# Step of a host after an order; other outcomes leave it unknown.
_STEPS: Final = MappingProxyType(
    {
        HostOutcome.done: HostStep.taken,
        HostOutcome.busy: HostStep.waiting,
        HostOutcome.refused: HostStep.waiting,
        HostOutcome.throttled: HostStep.waiting,
    },
)
# Step of a host after an order that was sent again: if the platform throttles
# it or is busy with the host, the order before may have been executed.
_REPEATED_STEPS: Final = MappingProxyType(
    {
        HostOutcome.done: HostStep.taken,
        HostOutcome.refused: HostStep.waiting,
    },
)


def _find_step_after(
    host: ListedHost,
    outcome: HostOutcome,
    *,
    is_repeated: bool,
) -> HostStep:
    """Find the step of a host after an order; ordered while it is open."""
    # A host that is down executes nothing.
    may_be_executed = is_repeated and host.state != HostState.down
    steps = _REPEATED_STEPS if may_be_executed else _STEPS
    return steps.get(outcome, HostStep.ordered)


def _get_max_age(session: WorkerSession | None, now: Moment) -> float:
    """Get the maximum age of a list that shows a worker on a host."""
    if session is None:
        return _LIST_SECONDS
    return inf if is_answering(session, now) else FRESH_LIST_SECONDS


def _make_update(
    progress: WaveProgress,
    host: HostId,
    step: HostStep,
) -> MaintenanceUpdated:
    is_over = step == HostStep.over
    return MaintenanceUpdated(
        progress.wave.number,
        host,
        is_taken=is_over or step == HostStep.taken,
        is_over=is_over,
    )


def _has_returned(
    progress: WaveProgress,
    host: ListedHost,
    *,
    is_late: bool,
) -> bool:
    """Return whether a host is up again.

    Its worker may be back under the same ID, and a host that is switched off
    has no worker before or after; both are back when the maintenance must be
    over. This is asked only of hosts whose order the platform accepted, since
    a crashed worker is replaced as well.
    """
    if host.state != HostState.up:
        return False
    before = progress.workers.get(host.host)
    has_new_worker = bool(before) and host.worker != before
    return has_new_worker or is_late
