"""Refusals of jobs by workspace and cause."""

from collections import Counter

from attrs import define, field

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkspaceName

__all__ = ('RefusalCounts',)


@define(eq=False)
class RefusalCounts:
    """Refused jobs since this process leads.

    The causes are the names of failures, and calls of unknown keys are of no
    workspace, so that callers cannot make the counts grow.
    """

    counts: 'dict[WorkspaceName, Counter[str]]' = field(factory=dict)
    # By cause since the last line of the event log.
    unlogged: 'Counter[str]' = field(factory=Counter)
    # Since the metrics were last updated.
    unmetered: list[Failure] = field(factory=list)

    def add(self, workspace: WorkspaceName, failure: Failure) -> None:
        """Count a refusal."""
        self.counts.setdefault(workspace, Counter())[failure.name] += 1
        self.unlogged[failure.name] += 1
        self.unmetered.append(failure)

    def get_counts(self, workspace: WorkspaceName) -> dict[str, int]:
        """Get the refusals of a workspace by cause."""
        return dict(self.counts.get(workspace, {}))

    def drain_unmetered(self) -> list[Failure]:
        """Return and clear the refusals that are not in the metrics yet."""
        unmetered = self.unmetered
        self.unmetered = []
        return unmetered

    def drain_unlogged(self) -> dict[str, int]:
        """Return and clear the refusals that were not logged yet."""
        unlogged = dict(self.unlogged)
        self.unlogged.clear()
        return unlogged
