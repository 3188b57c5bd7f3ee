"""Validation of a manifest before it is committed."""

from collections.abc import Hashable, Iterator

from attrs import frozen
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_operators.failures import InvalidManifestFailure
from hornbeamstair_operators.manifest.messages import Manifest, Workspace

__all__ = ('ManifestProblem', 'check_manifest', 'find_problems')


@frozen
class ManifestProblem:
    """Reason why a manifest is invalid, and the path of the field."""

    path: str
    reason: str


def check_manifest(manifest: Manifest) -> Result[Manifest, Failure]:
    """Refuse an invalid manifest with its first problem."""
    problem = next(find_problems(manifest), None)
    if problem is not None:
        return Error(InvalidManifestFailure(manifest.version, problem.reason))
    return Ok(manifest)


def find_problems(manifest: Manifest) -> Iterator[ManifestProblem]:
    """Find what makes a manifest invalid."""
    if manifest.version < 1:
        yield ManifestProblem('version', 'the version must be positive')
    yield from _find_repeated(manifest)
    services = {found.service for found in manifest.services}
    for at, queue in enumerate(manifest.queues):
        if queue.service not in services:
            yield ManifestProblem(
                f'queues[{at}].service',
                f'queue {queue.queue!r} refers to an unknown service',
            )
        if queue.call_timeout <= 0:
            yield ManifestProblem(
                f'queues[{at}].call_timeout',
                f'queue {queue.queue!r} needs a positive time limit for calls',
            )
    yield from _find_shared_keys(manifest.workspaces or ())


def _find_repeated(manifest: Manifest) -> Iterator[ManifestProblem]:
    names: dict[tuple[str, str], list[Hashable]] = {
        ('services', 'service'): [found.service for found in manifest.services],
        ('queues', 'queue'): [found.queue for found in manifest.queues],
        ('queues', 'host and prefix'): [
            (found.host, found.path_prefix) for found in manifest.queues
        ],
        ('workspaces', 'workspace'): [
            found.workspace for found in manifest.workspaces or ()
        ],
    }
    for (field, kind), listed in names.items():
        for at, name in enumerate(listed):
            count = listed.count(name) if name in listed[:at] else 1
            if count > 1:
                yield ManifestProblem(
                    f'{field}[{at}]', f'{kind} {name!r} occurs {count} times'
                )


def _find_shared_keys(
    workspaces: tuple[Workspace, ...],
) -> Iterator[ManifestProblem]:
    holders: dict[str, WorkspaceName] = {}
    for at, workspace in enumerate(workspaces):
        for digest in set(workspace.key_digests):
            holder = holders.setdefault(digest, workspace.workspace)
            if holder != workspace.workspace:
                # The key is a secret and does not occur in the reason.
                yield ManifestProblem(
                    f'workspaces[{at}].key_digests',
                    f'workspaces {holder!r} and {workspace.workspace!r} '
                    'share a key',
                )
