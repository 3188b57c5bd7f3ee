"""Validation of a manifest before it is committed."""

from collections import Counter
from collections.abc import Hashable, Iterator

from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_operators.failures import InvalidManifestFailure
from hornbeamstair_operators.manifest.messages import Manifest, Workspace

__all__ = ('check_manifest',)


def check_manifest(manifest: Manifest) -> Result[Manifest, Failure]:
    """Refuse an invalid manifest with its first problem."""
    reason = next(_find_problems(manifest), None)
    if reason is not None:
        return Error(InvalidManifestFailure(manifest.version, reason))
    return Ok(manifest)


def _find_problems(manifest: Manifest) -> Iterator[str]:
    if manifest.version < 1:
        yield 'the version must be positive'
    yield from _find_repeated(manifest)
    services = {found.service for found in manifest.services}
    for queue in manifest.queues:
        if queue.service not in services:
            yield f'queue {queue.queue!r} refers to an unknown service'
        if queue.call_timeout <= 0:
            yield f'queue {queue.queue!r} needs a positive time limit for calls'
    yield from _find_shared_keys(manifest.workspaces or ())


def _find_repeated(manifest: Manifest) -> Iterator[str]:
    names: dict[str, list[Hashable]] = {
        'service': [found.service for found in manifest.services],
        'queue': [found.queue for found in manifest.queues],
        'host and prefix': [
            (found.host, found.path_prefix) for found in manifest.queues
        ],
        'workspace': [found.workspace for found in manifest.workspaces or ()],
    }
    for kind, found in names.items():
        for name, count in Counter(found).items():
            if count > 1:
                yield f'{kind} {name!r} occurs {count} times'


def _find_shared_keys(workspaces: tuple[Workspace, ...]) -> Iterator[str]:
    holders: dict[str, WorkspaceName] = {}
    for workspace in workspaces:
        for digest in set(workspace.key_digests):
            holder = holders.setdefault(digest, workspace.workspace)
            if holder != workspace.workspace:
                # The key is a secret and does not occur in the reason.
                yield (
                    f'workspaces {holder!r} and {workspace.workspace!r} '
                    'share a key'
                )
