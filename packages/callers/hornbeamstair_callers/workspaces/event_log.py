"""Event log of the limits and shares that bind."""

from collections import Counter
from collections.abc import Iterable, Mapping
from heapq import nlargest
from typing import Any, Final

from attrs import define, field

from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_callers.workspaces.events import (
    JobsRefusedEvent,
    WorkspacesWaitingEvent,
)
from hornbeamstair_callers.workspaces.promises import PromisedRates
from hornbeamstair_callers.workspaces.quotas import StartQuotas
from hornbeamstair_callers.workspaces.refusals import RefusalCounts
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_core.moments import Moment

__all__ = ('WorkspaceEventLog',)

# Each line costs a pass over the waiting jobs.
_INTERVAL_SECONDS: Final = 1.0
_MAX_NAMES_PER_LINE: Final = 20


@define(eq=False)
class WorkspaceEventLog:
    """Logs the workspaces with waiting work, and refusals by cause."""

    quotas: StartQuotas
    promises: PromisedRates
    refusals: RefusalCounts
    logged_at: float = field(default=-_INTERVAL_SECONDS)

    def log_due(self, waiting: Iterable[WaitingJob], now: Moment) -> None:
        """Log what there is if the interval has passed."""
        if now.monotonic - self.logged_at < _INTERVAL_SECONDS:
            return
        self.logged_at = now.monotonic
        self._log_waiting([job for job in waiting if job.job.workspace])
        refused = self.refusals.drain_unlogged()
        if refused:
            log_event(JobsRefusedEvent(refused))

    def _log_waiting(self, waiting: list[WaitingJob]) -> None:
        jobs = Counter(found.job.workspace for found in waiting)
        if not jobs:
            return
        rows = [self._describe(name, count) for name, count in jobs.items()]
        is_beyond = self.promises.is_beyond
        log_event(
            WorkspacesWaitingEvent(
                len(rows),
                sum(row['is_held'] for row in rows),
                sum(is_beyond(found.job) for found in waiting),
                tuple(nlargest(_MAX_NAMES_PER_LINE, rows, _get_cpu)),
            ),
        )

    def _describe(
        self, workspace: WorkspaceName, jobs: int
    ) -> Mapping[str, Any]:
        allowance = self.quotas.get_allowance(workspace)
        return {
            'workspace': workspace,
            'jobs': jobs,
            'cpu': self.quotas.get_usage(workspace).cpu,
            'left_cpu': None if allowance is None else allowance.cpu,
            'is_held': self.quotas.is_held(workspace),
        }


def _get_cpu(row: Mapping[str, Any]) -> int:
    return int(row['cpu'])
