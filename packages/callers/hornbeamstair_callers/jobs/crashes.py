"""Crashes of workers under the tasks of a job."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import TaskId, WorkerId
from hornbeamstair_core.units import MINUTE

__all__ = ('Crash', 'CrashHistory')

# A task that crashes its workers is started again within minutes. Losses of
# hosts under a task that runs for weeks are unrelated.
_MEMORY_SECONDS: Final = 10 * MINUTE
# Number of crashes right after a start at which the job fails. The first worker
# may have gone down because of another run, and the second one by chance.
_MAX_EARLY_CRASHES: Final = 3
# Number of crashes at any time at which the job fails. Bounds the damage of a
# task that crashes its workers late, or around changes of the leader.
_MAX_CRASHES: Final = 5


@frozen
class Crash:
    """Worker that went down under a run of a task."""

    worker: WorkerId
    incarnation: int
    # Wall-clock seconds.
    at: float
    # The worker went down right after the start of the run.
    is_early: bool


@define(eq=False)
class CrashHistory:
    """Crashes by task, for tasks that have any."""

    crashes: dict[TaskId, tuple[Crash, ...]] = field(factory=dict)

    def add(self, task: TaskId, crash: Crash) -> None:
        """Add a crash, and forget those that are too old."""
        recent = self._get_recent(task, crash.at)
        self.crashes[task] = (*recent, crash)

    def remove_worker(self, worker: WorkerId, incarnation: int) -> None:
        """Remove the crashes of a worker that has not gone down."""
        survived = (worker, incarnation)
        self.crashes = {
            task: left
            for task, crashes in self.crashes.items()
            if (
                left := tuple(
                    crash
                    for crash in crashes
                    if (crash.worker, crash.incarnation) != survived
                )
            )
        }

    def get_all(self) -> Iterator[Crash]:
        """Get the crashes under all tasks."""
        return chain.from_iterable(self.crashes.values())

    def count_early(self, task: TaskId, wall: float) -> int:
        """Count the recent crashes right after a start of a task."""
        return sum(crash.is_early for crash in self._get_recent(task, wall))

    def is_last(self, task: TaskId, wall: float, *, is_early: bool) -> bool:
        """Return whether a further crash uses up those that a task may have."""
        crashes = 1 + len(self._get_recent(task, wall))
        early_crashes = is_early + self.count_early(task, wall)
        return early_crashes >= _MAX_EARLY_CRASHES or crashes >= _MAX_CRASHES

    def _get_recent(self, task: TaskId, wall: float) -> tuple[Crash, ...]:
        oldest = wall - _MEMORY_SECONDS
        return tuple(
            crash for crash in self.crashes.get(task, ()) if crash.at > oldest
        )
