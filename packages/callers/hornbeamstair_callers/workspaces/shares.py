"""Shares of the workers of a service that the workspaces have."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from math import inf
from typing import ClassVar, Final

from attrs import define, field

from hornbeamstair_callers.workspaces.usage import WorkspaceUsage
from hornbeamstair_core.ids import ServiceName, WorkspaceName
from hornbeamstair_operators.manifest.messages import Workspace
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_upstreams.work.messages import Resources
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('DominantShares', 'WorkspaceShares')

# Only the proportions of the resources of a service matter, which change
# little while workers come and go.
_REFRESH_SECONDS: Final = 1.0
_NOTHING: Final = Resources()


class WorkspaceShares(ABC):
    """Measure by which the workspace that has the least comes first."""

    name: ClassVar[str]

    @abstractmethod
    def refresh(self, sessions: Iterable[WorkerSession], now: float) -> None:
        """Take note of the workers, if that is due."""

    @abstractmethod
    def get_share(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
    ) -> float:
        """Get what a workspace has of a service, by its weight."""


@define(eq=False)
class DominantShares(WorkspaceShares):
    """Weighted dominant shares of the workers of each service.

    Starting the tasks of the workspace with the lowest share first is the
    progressive filling of dominant resource fairness: Ghodsi et al., "Dominant
    Resource Fairness: Fair Allocation of Multiple Resource Types", NSDI 2011.
    Long-running tasks, which start before all others, do not count.
    """

    name: ClassVar[str] = 'dominant'

    manifest: ManifestTable
    recorded: WorkspaceUsage
    reserved: WorkspaceUsage
    rooms: dict[ServiceName, Resources] = field(factory=dict, init=False)
    refreshed_at: float = field(default=-inf, init=False)

    def refresh(self, sessions: Iterable[WorkerSession], now: float) -> None:
        """Sum up the resources of the workers of each service."""
        if now - self.refreshed_at < _REFRESH_SECONDS:
            return
        self.refreshed_at = now
        self.rooms = {}
        for session in sessions:
            service = session.announced.service
            room = self.rooms.get(service, _NOTHING)
            self.rooms[service] = room.plus(session.announced.room)

    def get_share(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
    ) -> float:
        """Get the share of the resource that a workspace has most of."""
        recorded = self.recorded.get_finite(service, workspace)
        used = recorded.plus(self.reserved.get_finite(service, workspace))
        if used == _NOTHING:
            return 0
        known = self.manifest.workspaces.get(workspace)
        weight = Workspace(workspace).weight if known is None else known.weight
        if weight <= 0:
            return inf
        room = self.rooms.get(service, _NOTHING)
        dominant = max(
            used.cpu / max(room.cpu, 1),
            used.memory / max(room.memory, 1),
            used.accelerators / max(room.accelerators, 1),
        )
        return dominant / weight
