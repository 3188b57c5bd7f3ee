"""Replicated table of the waves and how far each machine is."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import MachineId, WorkerId
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_fleet.waves.messages import (
    MaintenanceBegun,
    MaintenanceDone,
    Wave,
    WaveDeclared,
)

__all__ = ('MachineStep', 'WaveProgress', 'WaveTable', 'WaveTableState')

_NO_WORKER = WorkerId('')


class MachineStep(Enum):
    """How far a machine of a wave is."""

    waiting = 'waiting'
    # The order may have been carried out.
    ordered = 'ordered'
    # The platform took the order.
    taken = 'taken'
    # The machine is up again, or is gone.
    over = 'over'


@define(eq=False)
class WaveProgress:
    """Wave and how far its machines are."""

    wave: Wave
    steps: dict[MachineId, MachineStep]
    # Worker of a machine before its maintenance.
    workers: dict[MachineId, WorkerId] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        """Tell whether every machine had its maintenance."""
        return all(step == MachineStep.over for step in self.steps.values())

    def count_down(self) -> int:
        """Count the machines that may be down for the wave."""
        down = {MachineStep.ordered, MachineStep.taken}
        return sum(1 for step in self.steps.values() if step in down)

    def get_machines(self, step: MachineStep) -> list[MachineId]:
        """Get the machines that are so far."""
        return [
            machine for machine, found in self.steps.items() if found == step
        ]


@frozen
class WaveTableState:
    """Waves in a snapshot."""

    waves: tuple[WaveProgress, ...]


@define(eq=False)
class WaveTable(RecordTable):
    """Waves by their number."""

    name: ClassVar[str] = 'waves'
    records: ClassVar[tuple[type[Record], ...]] = (
        MaintenanceBegun,
        MaintenanceDone,
        WaveDeclared,
    )
    state_class: ClassVar[type[Any]] = WaveTableState

    waves: dict[int, WaveProgress] = field(factory=dict)

    def apply(self, record: Record) -> object:
        """Apply a record."""
        match record:
            case WaveDeclared(wave):
                if wave.number not in self.waves:
                    steps = dict.fromkeys(wave.machines, MachineStep.waiting)
                    self.waves[wave.number] = WaveProgress(wave, steps)
            case MaintenanceBegun(wave, machine, worker):
                self.waves[wave].steps[machine] = MachineStep.ordered
                self.waves[wave].workers[machine] = worker
            case MaintenanceDone():
                self._take_done(record)
        return None

    def get_open(self) -> Iterator[WaveProgress]:
        """Get the waves that are not complete, the oldest first."""
        return (
            found
            for _, found in sorted(self.waves.items())
            if not found.is_complete
        )

    def get_state(self) -> WaveTableState:
        """Get the waves."""
        return WaveTableState(tuple(self.waves.values()))

    def put_state(self, state: Any) -> None:
        """Replace the waves."""
        found = () if state is None else state.waves
        self.waves = {progress.wave.number: progress for progress in found}

    def _take_done(self, record: MaintenanceDone) -> None:
        if record.is_over:
            step = MachineStep.over
        elif record.is_taken:
            step = MachineStep.taken
        else:
            # The platform refused: the machine waits again.
            step = MachineStep.waiting
        self.waves[record.wave].steps[record.machine] = step
