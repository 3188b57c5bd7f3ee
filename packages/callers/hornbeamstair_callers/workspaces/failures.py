"""Failures of calls that a workspace must authorize."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure
from hornbeamstair_core.ids import WorkspaceName

__all__ = (
    'KeyUnknownFailure',
    'QuotaTooSmallFailure',
    'WorkspaceUnknownFailure',
)


@register_failure
@frozen
class KeyUnknownFailure(Failure):
    """Call to a queue without a key of a workspace in force."""

    number = 2110
    name = 'key_unknown'
    summary = 'The queue needs a key of a workspace that is in force.'
    http_status = 401

    manifest_version: int


@register_failure
@frozen
class QuotaTooSmallFailure(Failure):
    """Job that can never run within the limits of its workspace."""

    number = 2111
    name = 'quota_too_small'
    summary = 'A task or a gang of the job exceeds the limit of its workspace.'
    # The caller has to change the job; it is not to be sent again.
    http_status = 400

    workspace: WorkspaceName
    phase: int
    manifest_version: int


@register_failure
@frozen
class WorkspaceUnknownFailure(Failure):
    """Query for a workspace that is not in the manifest in force."""

    number = 2112
    name = 'workspace_unknown'
    summary = 'The manifest in force has no such workspace.'
    http_status = 404

    workspace: WorkspaceName
