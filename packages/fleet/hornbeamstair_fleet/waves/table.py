"""Replicated table of the waves and the progress of their hosts."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import HostId, WorkerId
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_fleet.waves.messages import (
    MaintenanceStarted,
    MaintenanceUpdated,
    Wave,
    WaveDeclared,
)

__all__ = ('HostStep', 'WaveProgress', 'WaveTable', 'WaveTableState')

_NO_WORKER = WorkerId('')


class HostStep(Enum):
    """Step of the maintenance of a host."""

    waiting = 'waiting'
    # The start is recorded; the order may have been executed.
    ordered = 'ordered'
    # The platform accepted the order; the host is down.
    taken = 'taken'
    # The host is up again or no longer exists.
    over = 'over'


@define(eq=False)
class WaveProgress:
    """Wave and the steps of its hosts."""

    wave: Wave
    steps: dict[HostId, HostStep]
    # Workers of the hosts before their maintenance.
    workers: dict[HostId, WorkerId] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        """Return whether the maintenance of every host is over."""
        return all(step == HostStep.over for step in self.steps.values())

    def count_down_hosts(self) -> int:
        """Count the hosts that may be down for the wave."""
        return len(self.get_down_hosts())

    def get_down_hosts(self) -> list[HostId]:
        """Get the hosts that may be down for the wave."""
        down_steps = {HostStep.ordered, HostStep.taken}
        return [host for host, step in self.steps.items() if step in down_steps]

    def get_hosts(self, step: HostStep) -> list[HostId]:
        """Get the hosts at a step."""
        return [host for host, current in self.steps.items() if current == step]


@frozen
class WaveTableState:
    """Waves as stored in a snapshot."""

    waves: tuple[WaveProgress, ...]


@define(eq=False)
class WaveTable(RecordTable):
    """Progress of the waves by their number."""

    name: ClassVar[str] = 'waves'
    records: ClassVar[tuple[type[Record], ...]] = (
        MaintenanceStarted,
        MaintenanceUpdated,
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
            case MaintenanceStarted():
                self._apply_started(record)
            case MaintenanceUpdated():
                self._apply_updated(record)
        return None

    def get_incomplete(self) -> Iterator[WaveProgress]:
        """Get the waves that are not complete, ordered by number."""
        return (
            progress
            for _, progress in sorted(self.waves.items())
            if not progress.is_complete
        )

    def get_ordered_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may go down at any moment."""
        return {
            progress.workers[host]
            for progress in self.get_incomplete()
            for host in progress.get_hosts(HostStep.ordered)
        }

    def get_down_hosts(self, excluded: WaveProgress) -> set[HostId]:
        """Get the hosts that may be down for other waves than one."""
        return {
            host
            for progress in self.get_incomplete()
            if progress is not excluded
            for host in progress.get_down_hosts()
        }

    def get_ordered_hosts(self) -> list[HostId]:
        """Get the hosts that may go down at any moment."""
        return [
            host
            for progress in self.get_incomplete()
            for host in progress.get_hosts(HostStep.ordered)
        ]

    def get_state(self) -> WaveTableState:
        """Get the waves for a snapshot."""
        return WaveTableState(tuple(self.waves.values()))

    def restore_state(self, state: Any) -> None:
        """Replace the waves by those of a snapshot."""
        waves = () if state is None else state.waves
        self.waves = {progress.wave.number: progress for progress in waves}

    def _apply_started(self, record: MaintenanceStarted) -> None:
        """Apply a start within `max_down`; a previous leader's may be late."""
        progress = self.waves[record.wave]
        is_waiting = progress.steps.get(record.host) == HostStep.waiting
        if is_waiting and progress.count_down_hosts() < progress.wave.max_down:
            progress.steps[record.host] = HostStep.ordered
            progress.workers[record.host] = record.worker

    def _apply_updated(self, record: MaintenanceUpdated) -> None:
        """Apply an outcome; the record of a previous leader may be late."""
        steps = self.waves[record.wave].steps
        if record.is_over:
            steps[record.host] = HostStep.over
        elif steps.get(record.host) == HostStep.ordered:
            # A host waits again after the platform refused its order.
            is_accepted = record.is_taken
            steps[record.host] = (
                HostStep.taken if is_accepted else HostStep.waiting
            )
