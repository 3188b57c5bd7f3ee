"""Resources that the active runs of each workspace take."""

from attrs import define, field, frozen

from hornbeamstair_core.ids import ServiceName, TaskId, WorkspaceName
from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds

__all__ = ('ActiveRun', 'WorkspaceUsage')

_NOTHING = Resources()


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
    # Without long-running tasks.
    finite: dict[tuple[ServiceName, WorkspaceName], Resources] = field(
        factory=dict
    )

    def get_total(self, workspace: WorkspaceName) -> Resources:
        """Get what the runs of a workspace take on all workers."""
        return self.totals.get(workspace, _NOTHING)

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
        self.totals[run.workspace] = self.get_total(run.workspace).plus(room)
        if not run.needs.lasts:
            key = (run.service, run.workspace)
            self.finite[key] = self.get_finite(*key).plus(room)

    def remove(self, task: TaskId) -> None:
        """Remove the run of a task, if it has one."""
        run = self.runs.pop(task, None)
        if run is None:
            return
        room = run.needs.room
        left = self.get_total(run.workspace).minus(room)
        self.totals[run.workspace] = left
        if left == _NOTHING:
            self.totals.pop(run.workspace)
        if not run.needs.lasts:
            key = (run.service, run.workspace)
            self.finite[key] = self.get_finite(*key).minus(room)
            if self.finite[key] == _NOTHING:
                self.finite.pop(key)

    def clear(self) -> None:
        """Remove all runs."""
        self.runs.clear()
        self.totals.clear()
        self.finite.clear()
