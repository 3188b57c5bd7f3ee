"""Validation of a manifest before it is committed."""

from collections import Counter
from collections.abc import Iterator

from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_operators.failures import InvalidManifestFailure
from hornbeamstair_operators.manifest.messages import Manifest

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
    services = Counter(found.service for found in manifest.services)
    queues = Counter(found.queue for found in manifest.queues)
    routes = Counter(
        (found.host, found.path_prefix) for found in manifest.queues
    )
    for kind, counts in (
        ('service', services),
        ('queue', queues),
        ('host and prefix', routes),
    ):
        for name, count in counts.items():
            if count > 1:
                yield f'{kind} {name!r} occurs {count} times'
    for queue in manifest.queues:
        if queue.service not in services:
            yield f'queue {queue.queue!r} refers to an unknown service'
        if queue.call_timeout <= 0:
            yield f'queue {queue.queue!r} needs a positive time limit for calls'
