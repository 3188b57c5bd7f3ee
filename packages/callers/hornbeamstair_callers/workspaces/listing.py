"""Requests and replies that list workspaces for operators."""

from collections.abc import Mapping
from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_core.requests import Reply, Request

__all__ = ('ListWorkspaces', 'WorkspaceRow', 'WorkspacesReply')


@frozen
class ListWorkspaces(Request):
    """List the workspaces of the manifest in force, or one of them."""

    kind: ClassVar[str] = 'list_workspaces'

    # Empty for all.
    workspace: WorkspaceName = WorkspaceName('')


@frozen
class WorkspaceRow:
    """Workspace as listed for operators; its keys are only counted.

    CPU in thousandths of a core, memory in MB; a limit of 0 is none.
    """

    workspace: str
    keys: int
    weight: float
    cpu: int
    max_cpu: int
    memory: int
    max_memory: int
    accelerators: int
    max_accelerators: int
    # Largest weighted dominant share among the services.
    share: float
    open_jobs: int
    waiting_jobs: int
    # Open jobs beyond the promised rate.
    beyond_jobs: int
    # Tasks wait for the usage to fall.
    is_held: bool
    # Refused jobs by cause, since the present leader leads.
    refusals: Mapping[str, int]


@frozen
class WorkspacesReply(Reply):
    """Workspaces sorted by name."""

    kind: ClassVar[str] = 'workspaces'

    workspaces: tuple[WorkspaceRow, ...]
