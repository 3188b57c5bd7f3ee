"""Log lines on runs of workers that the leader does not expect on them."""

from collections.abc import Mapping
from typing import Any

from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_callers.jobs.run_events import RunsOrphanedEvent
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.events import log_event
from hornbeamstair_upstreams.work.fencing import get_token_term
from hornbeamstair_upstreams.work.runs import OrphanedRun
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('log_orphaned_runs',)


def log_orphaned_runs(session: WorkerSession, jobs: JobTable) -> None:
    """Log what the last poll listed, beside the current runs of the tasks."""
    orphaned = session.drain_orphaned()
    if orphaned:
        announced = session.announced
        log_event(
            RunsOrphanedEvent(
                get_token_term(session.fencing_token),
                announced.worker,
                announced.incarnation,
                tuple(_get_fields(run, jobs) for run in orphaned),
            ),
        )


def _get_fields(orphaned: OrphanedRun, jobs: JobTable) -> Mapping[str, Any]:
    job = jobs.jobs.get(get_job_id(orphaned.task))
    task = None if job is None else job.get_task(orphaned.task)
    return {
        'task': orphaned.task,
        'run': orphaned.run,
        'listed_as': orphaned.listed_as,
        'current_run': None if task is None else task.run,
        'current_worker': None if task is None else task.worker,
        'is_done': task is not None and task.is_done,
    }
