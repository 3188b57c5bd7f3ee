"""Number of tasks of a phase that are available to their users."""

from collections.abc import Iterator
from typing import Final

from attrs import define

from hornbeamstair_callers.jobs.messages import parse_task_id
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.index import WorkerIndex
from hornbeamstair_upstreams.work.leases import LeaseTerms
from hornbeamstair_upstreams.work.runs import Run, RunState

__all__ = ('PhaseAvailability',)

_COMPLETE_PERCENT: Final = 100
# Time for which a poll may take beyond its wait. A worker that answers later
# may lose its lease, and its runs, before a stop of another run arrives.
_ANSWER_SECONDS: Final = 0.7


@define(eq=False)
class PhaseAvailability:
    """Decides whether the leader may make a run unavailable."""

    index: WorkerIndex
    jobs: JobTable
    terms: LeaseTerms

    def may_interrupt(self, run: Run, now: Moment, count: int = 1) -> bool:
        """Return whether stops of so many runs keep enough of the phase."""
        if run.needs.max_away is None:
            return True
        position = parse_task_id(run.task)
        job = self.jobs.jobs.get(position.key.job)
        if job is None:
            return True
        total = job.spec.phases[position.key.phase].count
        serving = sum(1 for _ in self._find_serving_runs(run.phase_id, now))
        # Whether or not the run itself serves, it becomes unavailable.
        return total - serving + count <= run.needs.max_away

    def _find_serving_runs(self, phase_id: str, now: Moment) -> Iterator[Run]:
        stopping = self.terms.stopping
        oldest = now.monotonic - self.terms.wait - _ANSWER_SECONDS
        for run, session in self.index.phase_runs.get_runs(phase_id):
            # Runs of a worker that has not answered for a while may have ended,
            # and so may those that a former incarnation of it has listed. Those
            # of a leaving worker end in any case.
            is_counted = session.is_synced and session.answered_at > oldest
            is_counted = is_counted and not session.is_unresponsive
            is_counted = is_counted and not session.announced.is_leaving
            if is_counted and _is_serving(run, now, stopping):
                yield run


def _is_serving(run: Run, now: Moment, stopping: float) -> bool:
    if run.state != RunState.running or run.is_stop_requested:
        return False
    # The previous leader may have ordered a stop that is not listed yet.
    if run.confirmed_at is None or run.confirmed_at + stopping > now.monotonic:
        return False
    return run.percent >= _COMPLETE_PERCENT
