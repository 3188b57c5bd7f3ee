"""Event log of decisions that have not been committed for a long time."""

from collections.abc import Collection
from heapq import nsmallest
from operator import itemgetter
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.events import RecordsWaitingEvent
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_core.events import log_event
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('RecordEventLog',)

# Each line costs a pass over all workers.
_INTERVAL_SECONDS: Final = 1.0
# A record is committed within a tenth of this.
_MIN_AGE_SECONDS: Final = 1.0
_MAX_NAMES_PER_LINE: Final = 20


@define(eq=False)
class RecordEventLog:
    """Logs the tasks whose records a leader does not get committed.

    Such a task is neither started nor ended meanwhile, and a worker is not
    polled, so that its lease expires: other tasks go on, unlike without a
    leader.
    """

    fencing_token: int
    waiting: WaitingJobs
    logged_at: float = field(default=-_INTERVAL_SECONDS)

    def log_due(
        self,
        sessions: Collection[WorkerSession],
        now: Moment,
    ) -> None:
        """Log the records that wait if the interval has passed."""
        if now.monotonic - self.logged_at < _INTERVAL_SECONDS:
            return
        self.logged_at = now.monotonic
        in_flight = self.waiting.in_flight
        since = min(in_flight.values(), default=now.monotonic)
        if now.monotonic - since < _MIN_AGE_SECONDS:
            return
        unpolled = (
            session.announced.worker
            for session in sessions
            if not session.end_cursor.is_recorded()
        )
        oldest = nsmallest(
            _MAX_NAMES_PER_LINE,
            in_flight.items(),
            key=itemgetter(1),
        )
        log_event(
            RecordsWaitingEvent(
                self.fencing_token,
                len(in_flight),
                to_milliseconds(now.monotonic - since),
                tuple(task for task, _ in oldest),
                tuple(nsmallest(_MAX_NAMES_PER_LINE, unpolled)),
            ),
        )
