"""Events of operators' changes."""

from attrs import frozen

from hornbeamstair_core.events import Event, register_event

__all__ = ('ManifestPutEvent', 'WorkspaceKeysChangedEvent')


@register_event
@frozen
class ManifestPutEvent(Event):
    """Committed manifest and the version in force after it."""

    number = 4001
    name = 'manifest_put'
    summary = 'A manifest was committed; the highest version is in force.'

    version: int
    queues: int
    version_in_force: int


@register_event
@frozen
class WorkspaceKeysChangedEvent(Event):
    """Keys that a committed manifest added and withdrew, as counts only."""

    number = 4002
    name = 'workspace_keys_changed'
    summary = 'A manifest in force added or withdrew keys of workspaces.'

    version: int
    workspaces: int
    added: int
    withdrawn: int
