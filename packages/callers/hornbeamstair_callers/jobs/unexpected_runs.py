"""Log lines on runs of workers that the leader does not expect on them."""

from collections.abc import Mapping
from typing import Any

from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_callers.jobs.run_events import RunsUnexpectedEvent
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.events import log_event
from hornbeamstair_upstreams.work.fencing import get_token_term
from hornbeamstair_upstreams.work.runs import UnexpectedRun
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('log_unexpected_runs',)


def log_unexpected_runs(session: WorkerSession, jobs: JobTable) -> None:
    """Log what the last poll listed, beside the current runs of the tasks."""
    unexpected = session.drain_unexpected()
    if unexpected:
        announced = session.announced
        log_event(
            RunsUnexpectedEvent(
                get_token_term(session.fencing_token),
                announced.worker,
                announced.incarnation,
                tuple(_get_fields(run, jobs) for run in unexpected),
            ),
        )


def _get_fields(unexpected: UnexpectedRun, jobs: JobTable) -> Mapping[str, Any]:
    job = jobs.jobs.get(get_job_id(unexpected.task))
    task = None if job is None else job.get_task(unexpected.task)
    return {
        'task': unexpected.task,
        'run': unexpected.run,
        'listed_as': unexpected.listed_as,
        'current_run': None if task is None else task.run,
        'current_worker': None if task is None else task.worker,
        'is_done': task is not None and task.is_done,
    }
