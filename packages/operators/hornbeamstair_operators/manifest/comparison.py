"""Differences between a manifest and the one in force."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

from attrs import asdict

from hornbeamstair_operators.manifest.findings import Finding, Severity
from hornbeamstair_operators.manifest.messages import Manifest

__all__ = ('compare_manifests',)

# Limits of which 0 means none, so that a rise from 0 is a loss.
_LIMITS: Final = frozenset(('max_cpu', 'max_memory', 'max_accelerators'))
# Digests identify keys; they are counted and not shown.
_KEYS: Final = 'key_digests'

_Entries = Mapping[str, tuple[int, Mapping[str, Any]]]


def compare_manifests(
    manifest: Manifest,
    in_force: Manifest,
) -> list[Finding]:
    """Find what a manifest changes, losses of callers first."""
    found = list(_compare(manifest, in_force))
    return sorted(found, key=lambda finding: finding.severity)


def _compare(manifest: Manifest, in_force: Manifest) -> Iterator[Finding]:
    if manifest.version <= in_force.version:
        yield Finding(
            Severity.loss,
            'version',
            f'version {manifest.version} has no effect, since '
            f'{in_force.version} is in force',
        )
    if in_force.workspaces is not None and manifest.workspaces is None:
        yield Finding(
            Severity.loss, 'workspaces', 'calls of all queues need no key'
        )
    for field, name in (
        ('queues', 'queue'),
        ('services', 'service'),
        ('workspaces', 'workspace'),
    ):
        before = _get_entries(in_force, field, name)
        after = _get_entries(manifest, field, name)
        yield from _compare_entries(field, name, before, after)


def _get_entries(manifest: Manifest, field: str, name: str) -> _Entries:
    entries = getattr(manifest, field) or ()
    rows = [asdict(entry) for entry in entries]
    return {row[name]: (at, row) for at, row in enumerate(rows)}


def _compare_entries(
    field: str,
    kind: str,
    before: _Entries,
    after: _Entries,
) -> Iterator[Finding]:
    for name in before:
        if name not in after:
            yield Finding(Severity.loss, field, f'{kind} {name!r} is removed')
    for added, (at, row) in after.items():
        path = f'{field}[{at}]'
        label = f'{kind} {added!r}'
        old = before.get(added)
        if old is None:
            yield Finding(Severity.change, path, f'{label} is new')
        else:
            yield from _compare_fields(path, label, old[1], row)


def _compare_fields(
    path: str,
    label: str,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Iterator[Finding]:
    for name, new in after.items():
        if new != before[name]:
            severity, text = _describe(name, before[name], new)
            yield Finding(severity, f'{path}.{name}', f'{label}: {text}')


def _describe(name: str, old: Any, new: Any) -> tuple[Severity, str]:
    if name == _KEYS:
        removed = len(set(old) - set(new))
        text = f'{removed} keys withdrawn, {len(set(new) - set(old))} added'
        return (Severity.loss if removed else Severity.change), text
    text = f'{name} {old!r} becomes {new!r}'
    if name not in _LIMITS:
        return Severity.change, text
    is_loss = bool(new) and (not old or new < old)
    return (Severity.loss if is_loss else Severity.change), text
