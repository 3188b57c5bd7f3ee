"""Decision how many tasks of a workspace may start."""

import sys
from abc import ABC, abstractmethod
from typing import ClassVar, Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.messages import JobSpec, Phase
from hornbeamstair_callers.workspaces.failures import QuotaTooSmallFailure
from hornbeamstair_callers.workspaces.usage import ActiveRun, WorkspaceUsage
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import TaskId, WorkspaceName
from hornbeamstair_operators.manifest.messages import Workspace
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_upstreams.work.messages import Resources

__all__ = ('ManifestQuotas', 'StartQuotas', 'check_quota', 'count_fitting')

# Room in a dimension without a limit.
_UNLIMITED: Final = sys.maxsize


class StartQuotas(ABC):
    """Limits on what the active runs of each workspace take."""

    name: ClassVar[str]

    @abstractmethod
    def count_startable(
        self,
        workspace: WorkspaceName,
        phase: Phase,
        count: int,
    ) -> int:
        """Count how many of some tasks of a phase may start now."""

    @abstractmethod
    def get_usage(self, workspace: WorkspaceName) -> Resources:
        """Get what the active runs and the starts of a workspace take."""

    @abstractmethod
    def reserve(self, task: TaskId, run: ActiveRun) -> None:
        """Count a task whose start is being recorded as active."""

    @abstractmethod
    def settle(self, task: TaskId) -> None:
        """Handle the record of a start, which was applied or refused."""

    @abstractmethod
    def is_held(self, workspace: WorkspaceName) -> bool:
        """Return whether tasks wait for the usage of a workspace to fall."""

    @abstractmethod
    def count_held(self) -> int:
        """Count the workspaces that are held."""

    @abstractmethod
    def drain_eased(self) -> set[WorkspaceName]:
        """Return and clear the held workspaces whose usage has changed."""

    @abstractmethod
    def retry_held(self) -> None:
        """Forget the held workspaces; limits may have changed."""

    @abstractmethod
    def get_allowance(self, workspace: WorkspaceName) -> Resources | None:
        """Get what further runs may take; None without any limit."""


@define(eq=False)
class ManifestQuotas(StartQuotas):
    """Enforces the limits of the manifest in force.

    A run counts from the decision to start it until the record of its end is
    applied: also while it is being stopped, while its worker is silent, and
    after a change of the leader, whose tables hold every run that an order
    was sent for.
    """

    name: ClassVar[str] = 'manifest'

    manifest: ManifestTable
    # Runs whose starts are recorded; maintained by the job table.
    recorded: WorkspaceUsage
    # Runs whose starts are being recorded.
    reserved: WorkspaceUsage = field(factory=WorkspaceUsage, init=False)
    # Workspaces with tasks that were held back, with their usage at that time.
    held: dict[WorkspaceName, Resources] = field(factory=dict, init=False)

    def count_startable(
        self,
        workspace: WorkspaceName,
        phase: Phase,
        count: int,
    ) -> int:
        """Count the tasks that fit into what the workspace has left."""
        allowance = self.get_allowance(workspace)
        if allowance is None:
            return count
        startable = min(count, count_fitting(allowance, phase.needs.room))
        if startable == count:
            return count
        if self._fits_later(workspace, phase):
            self.held[workspace] = self.get_usage(workspace)
        return 0 if phase.is_gang else startable

    def reserve(self, task: TaskId, run: ActiveRun) -> None:
        """Count a task as active until its record is applied."""
        self.reserved.add(task, run)

    def settle(self, task: TaskId) -> None:
        """Leave it to the recorded runs whether the task is active."""
        self.reserved.remove(task)

    def is_held(self, workspace: WorkspaceName) -> bool:
        """Return whether tasks were held back at the present usage."""
        found = self.held.get(workspace)
        return found is not None and found == self.get_usage(workspace)

    def count_held(self) -> int:
        """Count the workspaces with tasks that were held back."""
        return len(self.held)

    def drain_eased(self) -> set[WorkspaceName]:
        """Return and clear the held workspaces whose usage has changed."""
        eased = {name for name in self.held if not self.is_held(name)}
        for name in eased:
            self.held.pop(name)
        return eased

    def retry_held(self) -> None:
        """Forget the held workspaces."""
        self.held.clear()

    def get_allowance(self, workspace: WorkspaceName) -> Resources | None:
        """Get the limits less the recorded and the reserved runs."""
        limits = self.manifest.workspaces.get(workspace)
        if limits is None or not _has_limits(limits):
            return None
        return _get_room(limits).minus(self.get_usage(workspace))

    def get_usage(self, workspace: WorkspaceName) -> Resources:
        """Sum up the recorded and the reserved runs."""
        return self.recorded.get_total(workspace).plus(
            self.reserved.get_total(workspace)
        )

    def _fits_later(self, workspace: WorkspaceName, phase: Phase) -> bool:
        """Return whether tasks will fit once finite runs have ended.

        Those that will not do not hold the later ones back.
        """
        lasting = self.recorded.get_lasting(workspace).plus(
            self.reserved.get_lasting(workspace)
        )
        limits = self.manifest.workspaces[workspace]
        return _fits(_get_room(limits).minus(lasting), phase)


def check_quota(
    manifest: ManifestTable,
    workspace: WorkspaceName,
    spec: JobSpec,
) -> Result[None, Failure]:
    """Refuse a job with a task or a gang that exceeds its workspace's limit."""
    limits = manifest.workspaces.get(workspace)
    if limits is None:
        return Ok(None)
    for number, phase in enumerate(spec.phases):
        if not _fits(_get_room(limits), phase):
            return Error(
                QuotaTooSmallFailure(workspace, number, manifest.version)
            )
    return Ok(None)


def count_fitting(room: Resources, needs: Resources) -> int:
    """Count the equal requests that fit into a room, which may be negative."""
    counts = (
        max(available, 0) // needed
        for available, needed in (
            (room.cpu, needs.cpu),
            (room.memory, needs.memory),
            (room.accelerators, needs.accelerators),
        )
        if needed
    )
    return min(counts, default=_UNLIMITED)


def _fits(room: Resources, phase: Phase) -> bool:
    """Return whether a task, or a whole gang, fits into a room."""
    least = phase.count if phase.is_gang else 1
    return count_fitting(room, phase.needs.room) >= least


def _has_limits(limits: Workspace) -> bool:
    return bool(limits.max_cpu or limits.max_memory or limits.max_accelerators)


def _get_room(limits: Workspace) -> Resources:
    return Resources(
        limits.max_cpu or _UNLIMITED,
        limits.max_memory or _UNLIMITED,
        limits.max_accelerators or _UNLIMITED,
    )
