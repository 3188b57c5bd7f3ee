"""Review of a manifest: errors, contradictions and entries without effect."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import ClassVar, Final

from attrs import frozen

from hornbeamstair_operators.manifest.checks import find_problems
from hornbeamstair_operators.manifest.findings import Finding, Severity
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    Queue,
    Workspace,
)

__all__ = ('ReviewRule', 'review_manifest')


class ReviewRule(ABC):
    """Rule that finds one kind of mistake."""

    severity: ClassVar[Severity]

    @abstractmethod
    def find(self, manifest: Manifest) -> Iterator[tuple[str, str]]:
        """Find the path and the reason of each mistake."""


@frozen
class InvalidEntries(ReviewRule):
    """Everything for which the manifest is refused."""

    severity: ClassVar[Severity] = Severity.error

    def find(self, manifest: Manifest) -> Iterator[tuple[str, str]]:
        """Find the problems that a commit would be refused for."""
        for problem in find_problems(manifest):
            yield problem.path, problem.reason


@frozen
class ContradictoryLimits(ReviewRule):
    """Limits that cannot be kept together."""

    severity: ClassVar[Severity] = Severity.contradiction

    def find(self, manifest: Manifest) -> Iterator[tuple[str, str]]:
        """Find the contradictions of each queue and workspace."""
        for at, queue in enumerate(manifest.queues):
            for name, reason in _find_in_queue(queue):
                yield f'queues[{at}].{name}', f'queue {queue.queue!r}: {reason}'
        for number, workspace in enumerate(manifest.workspaces or ()):
            for name, reason in _find_in_workspace(workspace):
                yield (
                    f'workspaces[{number}].{name}',
                    f'workspace {workspace.workspace!r}: {reason}',
                )


@frozen
class UnmatchedEntries(ReviewRule):
    """Entries that no call, task or key can ever match."""

    severity: ClassVar[Severity] = Severity.unmatched

    def find(self, manifest: Manifest) -> Iterator[tuple[str, str]]:
        """Find queues without callers or workers, and services of nobody."""
        standby = {
            found.service for found in manifest.services if found.is_standby
        }
        for at, queue in enumerate(manifest.queues):
            for name, reason in _find_unmatched_fields(queue):
                yield f'queues[{at}].{name}', f'queue {queue.queue!r}: {reason}'
            if queue.service in standby:
                yield (
                    f'queues[{at}].service',
                    f'queue {queue.queue!r}: the hosts of the standby service '
                    f'{queue.service!r} are switched off',
                )
        used = {queue.service for queue in manifest.queues}
        for number, service in enumerate(manifest.services):
            if service.service not in used and not service.is_standby:
                yield (
                    f'services[{number}]',
                    f'no queue uses the service {service.service!r}',
                )
        yield from _find_unmatched_keys(manifest)


_RULES: Final[tuple[ReviewRule, ...]] = (
    InvalidEntries(),
    ContradictoryLimits(),
    UnmatchedEntries(),
)


def review_manifest(manifest: Manifest) -> Iterator[Finding]:
    """Find the mistakes of a manifest, the worst first."""
    for rule in _RULES:
        for path, reason in rule.find(manifest):
            yield Finding(rule.severity, path, reason)


def _find_in_queue(queue: Queue) -> Iterator[tuple[str, str]]:
    if queue.max_attempts < 1:
        yield 'max_attempts', 'tasks need at least one attempt'
    if queue.stretch < 1:
        yield (
            'stretch',
            f'{queue.stretch:g} times the work cannot be met, it must be 1 '
            'or more',
        )
    if queue.target_seconds > queue.call_timeout:
        yield (
            'target_seconds',
            f'calls end after {queue.call_timeout:g} s, before the target of '
            f'{queue.target_seconds:g} s',
        )


def _find_in_workspace(workspace: Workspace) -> Iterator[tuple[str, str]]:
    if workspace.weight <= 0:
        yield 'weight', 'no job of a workspace of weight 0 is promised a place'
    limits = {
        'max_cpu': workspace.max_cpu,
        'max_memory': workspace.max_memory,
        'max_accelerators': workspace.max_accelerators,
    }
    for name, limit in limits.items():
        if limit < 0:
            yield name, 'a negative limit lets nothing start'


def _find_unmatched_fields(queue: Queue) -> Iterator[tuple[str, str]]:
    if not queue.path_prefix.startswith('/'):
        yield (
            'path_prefix',
            'no path begins with it, since all begin with a slash',
        )
    if not queue.host or queue.host != queue.host.strip():
        yield 'host', 'no call names this host'


def _find_unmatched_keys(manifest: Manifest) -> Iterator[tuple[str, str]]:
    if manifest.workspaces is None:
        yield from _find_marks_without_effect(manifest)
        return
    closed = [queue for queue in manifest.queues if not queue.is_open]
    for number, workspace in enumerate(manifest.workspaces):
        path = f'workspaces[{number}].key_digests'
        name = workspace.workspace
        if not workspace.key_digests:
            yield path, f'nobody has a key of {name!r}'
        elif not closed:
            yield path, f'every queue is open: no call needs a key of {name!r}'
    if closed and not any(found.key_digests for found in manifest.workspaces):
        reason = f'without any key, nobody can call {len(closed)} queues'
        yield 'workspaces', reason


def _find_marks_without_effect(
    manifest: Manifest,
) -> Iterator[tuple[str, str]]:
    for at, queue in enumerate(manifest.queues):
        if queue.is_open:
            yield (
                f'queues[{at}].is_open',
                f'queue {queue.queue!r}: without workspaces, every queue is '
                'open',
            )
