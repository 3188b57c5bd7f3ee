"""Review of the workers that fell silent under runs, and of their jobs."""

from collections.abc import Iterator, Mapping
from typing import Final

from attrs import asdict, define, field

from hornbeamstair_callers.jobs.crashes import Incarnation
from hornbeamstair_callers.jobs.events import (
    JobGivenUpEvent,
    SilenceExplainedEvent,
)
from hornbeamstair_callers.jobs.records import JobFailed
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.worker_records import (
    WorkerDied,
    WorkerSurvived,
)
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import JobId, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_upstreams.work.messages import WorkerGone
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('CrashReview',)

# Longer than a crashed worker needs to answer once it has announced itself, and
# long enough that the reviews of a large fleet cost little.
_INTERVAL_SECONDS: Final = 0.2
# Time in which a proposed record is applied, unless it is lost.
_RETRY_SECONDS: Final = 2.0


@define(eq=False)
class CrashReview:
    """Decides what became of silent workers, and which jobs fail of it.

    It looks at the current state again until its records are applied, so that
    neither a change of the leader nor a record on its way hides a crash.
    """

    jobs: JobTable
    sessions: Mapping[WorkerId, WorkerSession]
    reviewed_at: float = -_INTERVAL_SECONDS
    # Times at which records were proposed, by the incarnation or the job.
    proposed: dict[Incarnation | JobId, float] = field(factory=dict)

    def get_due_records(self, now: Moment) -> list[Record]:
        """Get the records of a review if one is due."""
        if now.monotonic - self.reviewed_at < _INTERVAL_SECONDS:
            return []
        self.reviewed_at = now.monotonic
        expiry = now.monotonic - _RETRY_SECONDS
        self.proposed = {
            subject: at for subject, at in self.proposed.items() if at > expiry
        }
        return [*self._explain_silence(now), *self._fail_jobs(now)]

    def get_last_records(self, session: WorkerSession) -> list[Record]:
        """Get the records of a worker that is about to be forgotten."""
        life = (session.announced.worker, session.announced.incarnation)
        gone = WorkerGone(*life)
        if not self.jobs.lost_workers.is_silent(life):
            return [gone]
        # The order to a reserved host may be over when its next worker comes.
        record = self._judge(*life, is_replaced=session.is_reserved)
        if record is None:
            return [gone]
        log_event(SilenceExplainedEvent(*life, record.kind))
        return [gone, record]

    def _explain_silence(self, now: Moment) -> Iterator[Record]:
        silent = {
            life: address
            for life, address in self.jobs.lost_workers.get_silent()
            if life not in self.proposed
        }
        if not silent:
            return
        latest = self._find_latest_incarnations()
        for life, address in silent.items():
            is_replaced = latest.get(address, 0) > life[1]
            record = self._judge(*life, is_replaced=is_replaced)
            if record is not None:
                self.proposed[life] = now.monotonic
                log_event(SilenceExplainedEvent(*life, record.kind))
                yield record

    def _judge(
        self,
        worker: WorkerId,
        incarnation: int,
        *,
        is_replaced: bool,
    ) -> Record | None:
        """Judge a silent worker; None while nothing is known."""
        session = self.sessions.get(worker)
        if session is None:
            return WorkerDied(worker, incarnation) if is_replaced else None
        current = session.announced.incarnation
        if current == incarnation and session.has_planned_end():
            return WorkerSurvived(worker, incarnation)
        if not (is_replaced or current > incarnation or session.is_replaced):
            return None
        # The worker of a reserved host was ended by the order to the host.
        is_ordered = session.is_reserved and not session.is_replaced
        explain = WorkerSurvived if is_ordered else WorkerDied
        return explain(worker, incarnation)

    def _find_latest_incarnations(self) -> dict[str, int]:
        """Find the latest incarnation that has answered at each address."""
        latest: dict[str, int] = {}
        for session in self.sessions.values():
            if session.is_synced:
                address = session.get_address()
                incarnation = session.announced.incarnation
                latest[address] = max(latest.get(address, 0), incarnation)
        return latest

    def _fail_jobs(self, now: Moment) -> Iterator[Record]:
        for job_id in self.jobs.lost_workers.get_hit_jobs():
            history = self.jobs.jobs[job_id].crash_history
            task = history.find_exhausted(now.wall)
            if task is not None and job_id not in self.proposed:
                self.proposed[job_id] = now.monotonic
                crashes = history.get_recent(task, now.wall)
                log_event(
                    JobGivenUpEvent(job_id, task, tuple(map(asdict, crashes))),
                )
                yield JobFailed(job_id, now.wall)
