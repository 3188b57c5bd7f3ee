"""Resources that the active runs of each workspace take."""

from collections.abc import Hashable
from typing import TypeVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import ServiceName, TaskId, WorkspaceName
from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds

__all__ = ('ActiveRun', 'WorkspaceUsage')

_NOTHING = Resources()

Key = TypeVar('Key', bound=Hashable)


@frozen
class ActiveRun:
    """What an active run takes, and of which workspace and service it is."""

    workspace: WorkspaceName
    service: ServiceName
    needs: TaskNeeds


@define(eq=False)
class WorkspaceUsage:
    """Active runs by task, with their sums, which are kept incrementally."""

    runs: dict[TaskId, ActiveRun] = field(factory=dict)
    totals: dict[WorkspaceName, Resources] = field(factory=dict)
    # Long-running tasks alone.
    lasting: dict[WorkspaceName, Resources] = field(factory=dict)
    # Without long-running tasks.
    finite: dict[tuple[ServiceName, WorkspaceName], Resources] = field(
        factory=dict
    )

    def get_total(self, workspace: WorkspaceName) -> Resources:
        """Get what the runs of a workspace take on all workers."""
        return self.totals.get(workspace, _NOTHING)

    def get_lasting(self, workspace: WorkspaceName) -> Resources:
        """Get what the long-running tasks of a workspace take."""
        return self.lasting.get(workspace, _NOTHING)

    def get_finite(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
    ) -> Resources:
        """Get what the finite runs of a workspace take of one service."""
        return self.finite.get((service, workspace), _NOTHING)

    def add(self, task: TaskId, run: ActiveRun) -> None:
        """Add the run of a task; it replaces an earlier one."""
        self.remove(task)
        self.runs[task] = run
        room = run.needs.room
        _add(self.totals, run.workspace, room)
        if run.needs.lasts:
            _add(self.lasting, run.workspace, room)
        else:
            _add(self.finite, (run.service, run.workspace), room)

    def remove(self, task: TaskId) -> None:
        """Remove the run of a task, if it has one."""
        run = self.runs.pop(task, None)
        if run is None:
            return
        room = run.needs.room
        _subtract(self.totals, run.workspace, room)
        if run.needs.lasts:
            _subtract(self.lasting, run.workspace, room)
        else:
            _subtract(self.finite, (run.service, run.workspace), room)

    def clear(self) -> None:
        """Remove all runs."""
        self.runs.clear()
        self.totals.clear()
        self.lasting.clear()
        self.finite.clear()


def _add(sums: dict[Key, Resources], key: Key, room: Resources) -> None:
    sums[key] = sums.get(key, _NOTHING).plus(room)


def _subtract(sums: dict[Key, Resources], key: Key, room: Resources) -> None:
    sums[key] = sums[key].minus(room)
    if sums[key] == _NOTHING:
        sums.pop(key)
