"""Replicated table of the waves and how far each host is."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import HostId, WorkerId
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_fleet.waves.messages import (
    MaintenanceBegun,
    MaintenanceDone,
    Wave,
    WaveDeclared,
)

__all__ = ('HostStep', 'WaveProgress', 'WaveTable', 'WaveTableState')

_NO_WORKER = WorkerId('')


class HostStep(Enum):
    """How far a host of a wave is."""

    waiting = 'waiting'
    # The order may have been carried out.
    ordered = 'ordered'
    # The platform took the order.
    taken = 'taken'
    # The host is up again, or is gone.
    over = 'over'


@define(eq=False)
class WaveProgress:
    """Wave and how far its hosts are."""

    wave: Wave
    steps: dict[HostId, HostStep]
    # Worker of a host before its maintenance.
    workers: dict[HostId, WorkerId] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        """Tell whether every host had its maintenance."""
        return all(step == HostStep.over for step in self.steps.values())

    def count_down(self) -> int:
        """Count the hosts that may be down for the wave."""
        return len(self.get_down())

    def get_down(self) -> list[HostId]:
        """Get the hosts that may be down for the wave."""
        down = {HostStep.ordered, HostStep.taken}
        return [host for host, step in self.steps.items() if step in down]

    def get_hosts(self, step: HostStep) -> list[HostId]:
        """Get the hosts that are so far."""
        return [host for host, found in self.steps.items() if found == step]


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
                    steps = dict.fromkeys(wave.hosts, HostStep.waiting)
                    self.waves[wave.number] = WaveProgress(wave, steps)
            case MaintenanceBegun():
                self._take_begun(record)
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

    def get_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may go down at any moment."""
        return {
            progress.workers[host]
            for progress in self.get_open()
            for host in progress.get_hosts(HostStep.ordered)
        }

    def get_state(self) -> WaveTableState:
        """Get the waves."""
        return WaveTableState(tuple(self.waves.values()))

    def put_state(self, state: Any) -> None:
        """Replace the waves."""
        found = () if state is None else state.waves
        self.waves = {progress.wave.number: progress for progress in found}

    def _take_begun(self, record: MaintenanceBegun) -> None:
        """Take a host down if it may be; a former holder's may be late."""
        progress = self.waves[record.wave]
        is_waiting = progress.steps.get(record.host) == HostStep.waiting
        if is_waiting and progress.count_down() < progress.wave.max_down:
            progress.steps[record.host] = HostStep.ordered
            progress.workers[record.host] = record.worker

    def _take_done(self, record: MaintenanceDone) -> None:
        """Take what became of an order; a former holder's may be late."""
        steps = self.waves[record.wave].steps
        if record.is_over:
            steps[record.host] = HostStep.over
        elif steps.get(record.host) == HostStep.ordered:
            # A host that the platform refused to take down waits again.
            taken = record.is_taken
            steps[record.host] = HostStep.taken if taken else HostStep.waiting
