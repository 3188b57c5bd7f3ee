"""Index of the runs of phases that limit how many tasks may be away."""

from collections.abc import Iterator

from attrs import define, field

from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('PhaseRuns',)


@define(eq=False)
class PhaseRuns:
    """Runs by phase, with their workers.

    Counting the runs of one phase must not cost a pass over all workers.
    """

    by_phase: dict[str, dict[Run, WorkerSession]] = field(factory=dict)

    def add(self, session: WorkerSession, run: Run) -> None:
        """Add a run if its phase has a limit."""
        if run.needs.max_away is not None:
            self.by_phase.setdefault(run.phase_id, {})[run] = session

    def discard(self, run: Run) -> None:
        """Remove a run."""
        runs = self.by_phase.get(run.phase_id, {})
        runs.pop(run, None)
        if not runs:
            self.by_phase.pop(run.phase_id, None)

    def get_runs(self, phase_id: str) -> Iterator[tuple[Run, WorkerSession]]:
        """Get the runs of a phase and their workers."""
        yield from self.by_phase.get(phase_id, {}).items()
