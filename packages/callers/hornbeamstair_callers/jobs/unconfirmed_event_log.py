"""Event log of runs that no worker has confirmed for a long time."""

from collections.abc import Collection, Iterator
from heapq import nsmallest
from operator import itemgetter
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.events import StartsUnconfirmedEvent
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('UnconfirmedEventLog',)

# Each line costs a pass over all runs.
_INTERVAL_SECONDS: Final = 1.0
# A start is committed and answered within a tenth of this.
_MIN_AGE_SECONDS: Final = 1.0
_MAX_RUNS_PER_LINE: Final = 20
_UNCONFIRMED_STATES: Final = frozenset(
    (RunState.recorded, RunState.ordered, RunState.unanswered),
)

# Time of the placement, worker, run.
_Start = tuple[float, WorkerId, Run]


@define(eq=False)
class UnconfirmedEventLog:
    """Logs the starts that have had no outcome for a long time."""

    fencing_token: int
    logged_at: float = field(default=-_INTERVAL_SECONDS)

    def log_due(
        self,
        sessions: Collection[WorkerSession],
        now: Moment,
    ) -> None:
        """Log the unconfirmed starts if the interval has passed."""
        if now.monotonic - self.logged_at < _INTERVAL_SECONDS:
            return
        self.logged_at = now.monotonic
        latest = now.monotonic - _MIN_AGE_SECONDS
        starts = list(_find_unconfirmed(sessions, latest))
        oldest = nsmallest(_MAX_RUNS_PER_LINE, starts, key=itemgetter(0))
        if oldest:
            runs = tuple(
                {
                    'task': run.task,
                    'run': run.run,
                    'worker': worker,
                    'state': run.state.value,
                    'age_ms': to_milliseconds(now.monotonic - started_at),
                }
                for started_at, worker, run in oldest
            )
            log_event(
                StartsUnconfirmedEvent(self.fencing_token, len(starts), runs)
            )


def _find_unconfirmed(
    sessions: Collection[WorkerSession],
    latest: float,
) -> Iterator[_Start]:
    for session in sessions:
        for run in session.runs.values():
            if run.state in _UNCONFIRMED_STATES and run.started_at < latest:
                yield run.started_at, session.announced.worker, run
