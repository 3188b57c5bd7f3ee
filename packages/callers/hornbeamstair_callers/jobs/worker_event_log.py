"""Event log of what the leader believes about the workers."""

from hornbeamstair_callers.jobs.events import (
    WorkerBelievedEvent,
    WorkerQuarantinedEvent,
)
from hornbeamstair_core.events import log_event
from hornbeamstair_upstreams.work.messages import WorkerAnnouncement
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WorkerEventLog',)


class WorkerEventLog:
    """Logs each change of the believed state of a worker."""

    def log_state(self, announced: WorkerAnnouncement, state: str) -> None:
        """Log the state of a worker."""
        log_event(
            WorkerBelievedEvent(
                announced.worker,
                announced.service,
                state,
                announced.incarnation,
            ),
        )

    def log_quarantine(self, session: WorkerSession, reason: str) -> None:
        """Log why a worker is given no new runs."""
        worker = session.announced.worker
        log_event(WorkerQuarantinedEvent(worker, reason))

    def log_responsiveness(
        self,
        session: WorkerSession,
        *,
        was_unresponsive: bool,
    ) -> None:
        """Log that a worker fell silent or answers again."""
        if session.is_unresponsive != was_unresponsive:
            state = 'silent' if session.is_unresponsive else 'answering'
            self.log_state(session.announced, state)
