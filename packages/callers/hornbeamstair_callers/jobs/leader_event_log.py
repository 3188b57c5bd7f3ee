"""Event log of the terms of the leader."""

from hornbeamstair_callers.jobs.events import HolderChangedEvent
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.events import log_event

__all__ = ('log_leader_change',)


def log_leader_change(
    fencing_token: int,
    workers: int,
    jobs: JobTable,
    *,
    holds: bool,
) -> None:
    """Log that a process leads now, or no longer does."""
    open_count = sum(1 for _ in jobs.get_open())
    log_event(HolderChangedEvent(fencing_token, holds, workers, open_count))
