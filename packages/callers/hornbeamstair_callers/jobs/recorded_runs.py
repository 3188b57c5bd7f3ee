"""Runs whose start records were applied."""

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.records import RunStarted
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.messages import StartOrder
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('discard_recorded_run', 'make_first_start')


def make_first_start(
    session: WorkerSession,
    run: Run,
    job: Job,
    now: Moment,
) -> StartOrder | None:
    """Make the start order of a recorded run; None if it may not start."""
    if not job.is_open or run.is_stop_requested:
        return None
    if session.is_ending() or session.is_overcommitted():
        # The worker leaves or has announced less since the run was placed.
        return None
    return session.make_start(run, job.spec.text, now.monotonic)


def discard_recorded_run(
    session: WorkerSession,
    run: Run,
    record: RunStarted,
) -> None:
    """Remove a run whose start record the job table has refused."""
    if run.run == record.run and run.state == RunState.recorded:
        session.remove_run(run.task)
