"""Isolation of runs whose task may have crashed workers before."""

from collections.abc import Iterable
from enum import IntEnum
from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamstair_core.ids import TaskId

if TYPE_CHECKING:
    from hornbeamstair_upstreams.work.runs import Run

__all__ = ('Isolation', 'IsolatedRuns', 'get_isolation')


class Isolation(IntEnum):
    """Isolation of a run until it has outlived its start.

    A worker that goes down does not tell which of the runs that had just
    started on it was the cause.
    """

    none = 0
    # No other isolated run starts on the worker.
    from_suspects = 1
    # No other run starts on the worker; only this one can crash it.
    from_starts = 2


@define(eq=False)
class IsolatedRuns:
    """Isolated runs of a worker that have not outlived their start."""

    levels: dict[TaskId, Isolation] = field(factory=dict)

    def add(self, run: 'Run') -> None:
        """Add a run if it is isolated."""
        if run.isolation and not run.is_proven:
            self.levels[run.task] = run.isolation

    def discard(self, task: TaskId) -> None:
        """Remove the run of a task that has ended or outlived its start."""
        self.levels.pop(task, None)

    def allow(self, isolation: Isolation, runs: Iterable['Run']) -> bool:
        """Return whether a run may start beside the runs of the worker."""
        if isolation == Isolation.none:
            return Isolation.from_starts not in self.levels.values()
        if self.levels:
            return False
        return isolation == Isolation.from_suspects or all(
            run.is_proven for run in runs
        )


def get_isolation(crashes: int) -> Isolation:
    """Get the isolation of a task under which workers have crashed."""
    return Isolation(min(crashes, Isolation.from_starts))
