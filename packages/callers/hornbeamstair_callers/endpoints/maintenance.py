"""Endpoint that carries out maintenance waves while this process leads."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_callers.endpoints.machine_list import MachineList
from hornbeamstair_callers.endpoints.moves import MoveKeeper
from hornbeamstair_callers.jobs.evacuation import free_workers, get_loads
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import MachineId, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.events import MachineOrderedEvent
from hornbeamstair_fleet.waves.messages import (
    Machine,
    MachineOrder,
    MachineOutcome,
    MachineState,
    MaintenanceBegun,
    MaintenanceDone,
)
from hornbeamstair_fleet.waves.planner import WavePlan, WavePlanner
from hornbeamstair_fleet.waves.table import (
    MachineStep,
    WaveProgress,
    WaveTable,
)

__all__ = ('MaintenanceKeeper',)

_PASS_SECONDS: Final = 0.2
# Each reading has its price; a machine is down for longer than this.
_LIST_SECONDS: Final = 1.2
_REPEAT_SECONDS: Final = 1.5
# Maintenance and the lag of the list together take less.
_BACK_SECONDS: Final = 4.0
# A list that misses a machine for a moment does not prove that it is gone.
_ABSENT_SECONDS: Final = 6.0


@define(eq=False)
class MaintenanceKeeper:
    """Orders of waves, one after the other for each machine."""

    holder: str
    table: WaveTable
    runner: WorkRunner
    machines: MachineList
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

    def get_machines(self) -> tuple[Machine, ...]:
        """Get the machines as the platform listed them last."""
        return tuple(self.machines.machines.values())

    async def carry_on_all(self, scheduler: Scheduler) -> None:
        """Carry on all waves and moves."""
        waves = list(self.table.get_open())
        if waves:
            has_list = await self.machines.refresh(_LIST_SECONDS)
            if has_list and scheduler is self.runner.find_scheduler():
                await self._carry_on(scheduler, waves)
        else:
            free_workers(scheduler, (), (), self.get_moment())
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
            await self._settle(progress)
            loads = get_loads(scheduler)
            now = self.get_moment()
            plans.append(
                self.planner.plan(
                    progress,
                    self.machines.machines,
                    loads,
                    now,
                ),
            )
        self._free(scheduler, plans)
        for wave, plan in zip(waves, plans, strict=True):
            for machine in plan.ordered:
                await self._begin(scheduler, wave, machine)

    async def _settle(self, progress: WaveProgress) -> None:
        """Find out from the list how far the machines are."""
        for machine_id, step in list(progress.steps.items()):
            is_open = step != MachineStep.over
            if is_open and self.machines.is_newer_than_order(machine_id):
                await self._settle_machine(progress, machine_id, step)

    async def _settle_machine(
        self,
        progress: WaveProgress,
        machine_id: MachineId,
        step: MachineStep,
    ) -> None:
        machine = self.machines.machines.get(machine_id)
        if machine is None:
            if self.machines.get_absence(machine_id) > _ABSENT_SECONDS:
                # The machine was taken away.
                await self._note(progress, machine_id, is_over=True)
        elif step == MachineStep.ordered:
            await self._find_out(progress, machine)
        elif step == MachineStep.taken:
            age = self.machines.get_age_of_order(machine_id)
            if _is_back(progress, machine, is_late=age > _BACK_SECONDS):
                await self._note(progress, machine_id, is_over=True)

    async def _find_out(
        self,
        progress: WaveProgress,
        machine: Machine,
    ) -> None:
        """Find out about an order that had no clear answer."""
        if machine.state == MachineState.maintenance:
            await self._note(progress, machine.machine, is_over=False)
        elif self.machines.get_age_of_order(machine.machine) > _REPEAT_SECONDS:
            await self._order(progress, machine)

    def _free(self, scheduler: Scheduler, plans: list[WavePlan]) -> None:
        reserved: set[WorkerId] = set()
        urgent: set[WorkerId] = set()
        for plan in plans:
            reserved.update(plan.reserved)
            urgent.update(plan.urgent)
        free_workers(scheduler, reserved, urgent, self.get_moment())

    async def _begin(
        self,
        scheduler: Scheduler,
        progress: WaveProgress,
        machine: Machine,
    ) -> None:
        session = scheduler.sessions.get(machine.worker)
        if session is not None and session.runs:
            # Something was placed since the plan was made.
            return
        if progress.count_down() >= progress.wave.max_down:
            return
        record = MaintenanceBegun(
            progress.wave.number,
            machine.machine,
            machine.worker,
        )
        committed = await self.runner.commit((record,))
        if committed.is_ok():
            await self._order(progress, machine)

    async def _order(self, progress: WaveProgress, machine: Machine) -> None:
        scheduler = self.runner.find_scheduler()
        if scheduler is None:
            return
        outcome = await self.machines.client.maintain(
            MachineOrder(
                machine.machine,
                self.holder,
                scheduler.fencing_token,
            ),
            progress.wave.number,
        )
        now = self.get_moment()
        self.machines.note_order(machine.machine)
        log_event(
            MachineOrderedEvent(
                machine.machine,
                machine.worker,
                'maintain',
                outcome.value,
                scheduler.fencing_token,
                progress.count_down(),
            ),
        )
        match outcome:
            case MachineOutcome.done:
                scheduler.note_left(machine.worker, now)
                await self._note(progress, machine.machine, is_over=False)
            case MachineOutcome.busy | MachineOutcome.refused:
                await self._refuse(progress, machine)

    async def _refuse(self, progress: WaveProgress, machine: Machine) -> None:
        """Have a machine wait again that the platform would not take."""
        record = MaintenanceDone(
            progress.wave.number,
            machine.machine,
            is_taken=False,
            is_over=False,
        )
        await self.runner.commit((record,))

    async def _note(
        self,
        progress: WaveProgress,
        machine: MachineId,
        *,
        is_over: bool,
    ) -> None:
        record = MaintenanceDone(
            progress.wave.number,
            machine,
            is_taken=True,
            is_over=is_over,
        )
        await self.runner.commit((record,))


def _is_back(
    progress: WaveProgress,
    machine: Machine,
    *,
    is_late: bool,
) -> bool:
    """Tell whether a machine is up again with a new worker.

    A machine that is switched off has no worker before or after. Only a
    machine that the platform took down counts: a worker that crashes is
    replaced as well.
    """
    if machine.state != MachineState.up:
        return False
    before = progress.workers.get(machine.machine)
    return machine.worker != before if before else is_late
