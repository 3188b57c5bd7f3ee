"""Event logs of what has not gone on for a long time under a leader."""

from collections.abc import Mapping

from attrs import define, field

from hornbeamstair_callers.jobs.inheritance import InheritedRuns
from hornbeamstair_callers.jobs.overdue_event_log import OverdueEventLog
from hornbeamstair_callers.jobs.record_event_log import RecordEventLog
from hornbeamstair_callers.jobs.resting_phases import RestingPhases
from hornbeamstair_callers.jobs.resting_runs import RestingRuns
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.unconfirmed_event_log import (
    UnconfirmedEventLog,
)
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.workspaces.quotas import StartQuotas
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('StallEventLogs',)


@define(eq=False)
class StallEventLogs:
    """Logs starts, records and tasks that wait for too long."""

    fencing_token: int
    jobs: JobTable
    waiting: WaitingJobs
    sessions: Mapping[WorkerId, WorkerSession]
    inherited: InheritedRuns
    quotas: StartQuotas
    unconfirmed: UnconfirmedEventLog = field(init=False)
    records: RecordEventLog = field(init=False)
    overdue: OverdueEventLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the logs."""
        self.unconfirmed = UnconfirmedEventLog(self.fencing_token)
        self.records = RecordEventLog(self.fencing_token, self.waiting)
        self.overdue = OverdueEventLog(
            self.fencing_token,
            RestingRuns(self.jobs, self.waiting, self.sessions, self.inherited),
            RestingPhases(self.jobs, self.waiting),
            self.quotas,
        )

    def log_due(self, now: Moment) -> None:
        """Log what waits if the interval of the log has passed."""
        sessions = self.sessions.values()
        self.unconfirmed.log_due(sessions, now)
        self.records.log_due(sessions, now)
        self.overdue.log_due(now)
