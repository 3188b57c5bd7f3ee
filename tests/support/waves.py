"""A platform of one machine, and waves carried out against it."""

from asyncio import run
from collections.abc import Sequence
from typing import Any, ClassVar

from attrs import define, evolve, field
from expression import Ok, Result

from hornbeamstair_callers.endpoints.machine_list import MachineList
from hornbeamstair_callers.endpoints.maintenance import MaintenanceKeeper
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import MachineId, PoolName, WorkerId, ZoneName
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_fleet.machines import MachinesClient
from hornbeamstair_fleet.waves.messages import (
    Machine,
    MachineOrder,
    MachineOutcome,
    MachineState,
    Wave,
    WaveDeclared,
)
from hornbeamstair_fleet.waves.table import WaveTable
from tests.support.work_model import WorkModel

STEP = 0.2


@define(eq=False)
class OneMachine(MachinesClient):
    """Platform with one machine."""

    name: ClassVar[str] = 'one'

    machine: Machine
    outcome: MachineOutcome = MachineOutcome.unknown

    async def list_machines(self) -> tuple[Machine, ...]:
        """List the machine."""
        return (self.machine,)

    async def maintain(
        self,
        order: MachineOrder,
        wave: int,
    ) -> MachineOutcome:
        """Answer as told; a taken order replaces the worker."""
        if self.outcome == MachineOutcome.done:
            self.machine = evolve(self.machine, worker=WorkerId('after'))
        return self.outcome

    async def move(
        self,
        order: MachineOrder,
        pool: PoolName,
    ) -> MachineOutcome:
        """Refuse any move."""
        return MachineOutcome.refused


@define(eq=False)
class NoMoves:
    """Moves that are never planned."""

    async def carry_on(self, scheduler: Scheduler) -> None:
        """Plan nothing."""


@define(eq=False)
class WavesOfOne:
    """Keeper of waves on a passed clock; it is its own runner."""

    scheduler: Scheduler
    now: float = 100
    table: WaveTable = field(factory=WaveTable)
    client: OneMachine = field(init=False)
    keeper: MaintenanceKeeper = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Declare a wave of the one machine."""
        machine = Machine(
            MachineId('m'),
            PoolName('p'),
            MachineState.up,
            ZoneName('z'),
            'r1',
            WorkerId('before'),
        )
        self.client = OneMachine(machine)
        wave = Wave(1, (machine.machine,), self.now, self.now + 60, 1)
        self.table.apply(WaveDeclared(wave))
        self.keeper = MaintenanceKeeper(
            'holder',
            self.table,
            self,
            MachineList(self.client, lambda: self.now),
            lambda: Moment(self.now, self.now),
            NoMoves(),
        )

    async def commit(self, records: Sequence[Record]) -> Result[None, Any]:
        """Apply records at once."""
        for record in records:
            self.table.apply(record)
        return Ok(None)

    def find_scheduler(self) -> Scheduler:
        """Find the scheduler."""
        return self.scheduler

    def pass_time(self, seconds: float) -> None:
        """Let the keeper work."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            run(self.keeper.carry_on_all(self.scheduler))


def make_waves(model: WorkModel) -> WavesOfOne:
    """Make a wave of one machine."""
    return WavesOfOne(model.scheduler)
