"""Workers that went down, or seemed to, under the tasks of a job."""

import math
from collections.abc import Iterator
from typing import Final

from attrs import define, evolve, field, frozen

from hornbeamstair_core.ids import TaskId, WorkerId
from hornbeamstair_core.units import MINUTE

__all__ = ('Crash', 'CrashHistory', 'Incarnation')

Incarnation = tuple[WorkerId, int]

# A task that crashes its workers is started again within minutes. Losses of
# hosts under a task that runs for weeks are unrelated.
_MEMORY_SECONDS: Final = 10 * MINUTE
# Number of crashes right after a start at which the job fails. The first worker
# may have gone down because of another run, and the second one by chance.
_MAX_EARLY_CRASHES: Final = 3
# Number of crashes at any time at which the job fails. Bounds the damage of a
# task that crashes its workers late, or around changes of the leader.
_MAX_CRASHES: Final = 5
# Workers that have crashed are mostly back at about the time when the leases of
# their runs have expired.
_SUSPICION_SECONDS: Final = 1.0
# Pause of a task whose crashes would fail its job if all were confirmed. Longer
# than a crashed worker takes to be back; doubled by each further one.
_PAUSE_SECONDS: Final = 10.0


@frozen
class Crash:
    """Worker that fell silent or went down under a run of a task."""

    worker: WorkerId
    incarnation: int
    # Wall-clock seconds.
    at: float
    # The worker was lost right after the start of the run.
    is_early: bool
    # Host and port of the worker; empty if unknown.
    address: str = ''
    # Another life of the worker was seen. Silence alone confirms nothing.
    is_confirmed: bool = False

    def get_incarnation(self) -> Incarnation:
        """Get the worker and its incarnation."""
        return self.worker, self.incarnation


@define(eq=False)
class CrashHistory:
    """Crashes by task, for tasks that have any."""

    crashes: dict[TaskId, tuple[Crash, ...]] = field(factory=dict)

    def add(self, task: TaskId, crash: Crash) -> tuple[Crash, ...]:
        """Add a crash; return those that are forgotten, since they are old."""
        known = self.crashes.get(task, ())
        recent = self.get_recent(task, crash.at)
        self.crashes[task] = (*recent, crash)
        return tuple(old for old in known if old not in recent)

    def confirm_worker(self, task: TaskId, incarnation: Incarnation) -> None:
        """Confirm the crashes of a worker that has gone down under a task."""
        self.crashes[task] = tuple(
            evolve(crash, is_confirmed=True)
            if crash.get_incarnation() == incarnation
            else crash
            for crash in self.crashes.get(task, ())
        )

    def remove_worker(self, task: TaskId, incarnation: Incarnation) -> None:
        """Remove the crashes of a worker that has not gone down."""
        left = tuple(
            crash
            for crash in self.crashes.pop(task, ())
            if crash.get_incarnation() != incarnation
        )
        if left:
            self.crashes[task] = left

    def get_all(self) -> Iterator[tuple[TaskId, Crash]]:
        """Get the crashes under all tasks."""
        for task, crashes in self.crashes.items():
            for crash in crashes:
                yield task, crash

    def get_recent(self, task: TaskId, wall: float) -> tuple[Crash, ...]:
        """Get the crashes under a task that still count."""
        oldest = wall - _MEMORY_SECONDS
        return tuple(
            crash for crash in self.crashes.get(task, ()) if crash.at > oldest
        )

    def count_suspect(self, task: TaskId, wall: float) -> int:
        """Count the crashes right after a start that a task is suspected of.

        Silence that nothing has explained for a while is most likely that of a
        worker that was cut off, unless many workers fell silent.
        """
        recent = self.get_recent(task, wall)
        oldest_silent = wall - _SUSPICION_SECONDS
        if _count_excess(recent) >= 0:
            oldest_silent = -math.inf
        return sum(
            crash.is_early and (crash.is_confirmed or crash.at > oldest_silent)
            for crash in recent
        )

    def find_exhausted(self, wall: float) -> TaskId | None:
        """Find a task that has used up the crashes that it may have."""
        for task, crashes in self.crashes.items():
            if len(crashes) < _MAX_EARLY_CRASHES:
                continue
            confirmed = [
                crash
                for crash in self.get_recent(task, wall)
                if crash.is_confirmed
            ]
            if _count_excess(confirmed) >= 0:
                return task
        return None

    def is_paused(self, task: TaskId, wall: float) -> bool:
        """Return whether a task waits to learn what became of its workers."""
        return self.get_wait_seconds(task, wall) < 0

    def get_wait_seconds(self, task: TaskId, wall: float) -> float:
        """Get the time since a task may start again; negative in a pause."""
        recent = self.get_recent(task, wall)
        if not recent:
            return math.inf
        excess = _count_excess(recent)
        pause = math.ldexp(_PAUSE_SECONDS, excess) if excess >= 0 else 0
        # A clock that was set back since does not hold up the task.
        return abs(wall - recent[-1].at) - pause


def _count_excess(crashes: list[Crash] | tuple[Crash, ...]) -> int:
    """Count the crashes beyond those that fail a job; negative for less."""
    early = sum(crash.is_early for crash in crashes)
    return max(early - _MAX_EARLY_CRASHES, len(crashes) - _MAX_CRASHES)
