"""Scheduler of the holder: jobs, workers and time in, effects out."""

from collections.abc import Collection, Iterable
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_callers.jobs.effects import (
    CommitBatch,
    SendStart,
    SendStop,
    WatchWorker,
)
from hornbeamstair_callers.jobs.ends import EndRecorder
from hornbeamstair_callers.jobs.events import (
    HolderChangedEvent,
    WorkerBelievedEvent,
    WorkerQuarantinedEvent,
)
from hornbeamstair_callers.jobs.inheritance import InheritedRuns
from hornbeamstair_callers.jobs.job_log import JobLog
from hornbeamstair_callers.jobs.messages import get_job
from hornbeamstair_callers.jobs.order import ObjectiveOrder
from hornbeamstair_callers.jobs.records import (
    JobAccepted,
    JobCancelled,
    JobFailed,
    JobsForgotten,
    RunEnded,
    RunStarted,
)
from hornbeamstair_callers.jobs.run_log import RunLog
from hornbeamstair_callers.jobs.starts import StartPlanner
from hornbeamstair_callers.jobs.table import Job, JobTable
from hornbeamstair_callers.jobs.unstarted import UnstartedJobs
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_log import WaitingLog
from hornbeamstair_callers.jobs.waiting_queue import WaitingQueue
from hornbeamstair_core.effects import Effect
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import JobId, ServiceName, TaskId, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_upstreams.work.effort import PlacementEffort
from hornbeamstair_upstreams.work.index import WorkerIndex
from hornbeamstair_upstreams.work.leases import LeaseTerms, WorkerLease
from hornbeamstair_upstreams.work.looks import take_look
from hornbeamstair_upstreams.work.messages import (
    Announced,
    HoldAnswer,
    OrderAnswer,
    OrderOutcome,
    RunEnd,
    StartOrder,
    StopOrder,
    WorkerGone,
)
from hornbeamstair_upstreams.work.placement import Placement
from hornbeamstair_upstreams.work.runs import EndedRun, Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.table import WorkerTable

__all__ = ('Scheduler', 'SchedulerState')

# A worker that was silent for so long and holds nothing is forgotten.
_SILENT_SECONDS: Final = 12.0
# Callers may ask for the state of a job for so long after its end.
_STATUS_SECONDS: Final = 180.0
_FORGET_SECONDS: Final = 5.0
# Jobs without room that a pass looks at; with more of them it takes longer
# than to handle an end and a start.
_UNPLACED_JOBS: Final = 48


@frozen
class SchedulerState:
    """Replicated tables that the scheduler reads."""

    jobs: JobTable
    manifest: ManifestTable
    workers: WorkerTable


@define(eq=False)
class Scheduler:
    """Decisions of the one process that gives orders to workers.

    It lives as long as one term of its process as the leader. The term is
    the fencing token of all its orders. It acts only on committed records.
    """

    state: SchedulerState
    fencing_token: int
    terms: LeaseTerms
    sessions: dict[WorkerId, WorkerSession] = field(factory=dict)
    index: WorkerIndex = field(factory=WorkerIndex, init=False)
    effects: list[Effect] = field(factory=list)
    forgot_at: float = 0
    inherited: InheritedRuns = field(factory=lambda: InheritedRuns(0))
    unstarted: UnstartedJobs = field(factory=UnstartedJobs, init=False)
    effort: PlacementEffort = field(factory=PlacementEffort, init=False)
    job_log: JobLog = field(init=False)
    run_log: RunLog = field(init=False)
    waiting: WaitingJobs = field(init=False)
    waiting_log: WaitingLog = field(init=False)
    starts: StartPlanner = field(init=False)
    ends: EndRecorder = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Join the parts that share the index of waiting jobs."""
        state = self.state
        self.waiting = WaitingJobs(
            state.jobs,
            state.manifest,
            ObjectiveOrder(),
        )
        self.waiting_log = WaitingLog(self.waiting)
        self.job_log = JobLog(state.manifest)
        self.run_log = RunLog(self.fencing_token)
        self.starts = StartPlanner(
            self.waiting,
            self.run_log,
            self.effort,
        )
        self.ends = EndRecorder(
            state.jobs,
            state.manifest,
            self.waiting,
            self.run_log,
        )

    def start(self, now: Moment, held: Collection[WorkerId] = ()) -> None:
        """Take over the workers and the runs of the earlier holder.

        Held are the workers whose hosts may go down or leave by an order of
        the earlier holder.
        """
        longest = self.terms.longest
        self.inherited = InheritedRuns(now.steady + longest)
        self.inherited.note_jobs(self.state.jobs.jobs.values(), now.steady)
        for announced in self.state.workers.workers.values():
            self._add_session(announced, now, now.steady + longest)
        for worker in held:
            session = self.sessions.get(worker)
            if session is not None:
                session.is_reserved = True
        self.waiting.mark(self.state.jobs.jobs)
        for job in self.state.jobs.get_open():
            self.unstarted.note_open(job)
        self._log_change(holds=True)

    def stop(self) -> None:
        """Write what was not told yet; another process may lead."""
        self.run_log.flush()
        self._log_change(holds=False)

    def take_effects(self) -> list[Effect]:
        """Take the effects since the last call."""
        effects = self.effects
        self.effects = []
        return effects

    def note_committed(self, batch: CommitBatch) -> None:
        """Have a worker forget ends after their records were applied."""
        if batch.session is not None:
            batch.session.note_recorded(batch.incarnation, batch.cursor)

    def note_record(self, record: Record, now: Moment) -> None:
        """Go on after a record was applied, whoever proposed it."""
        match record:
            case RunStarted():
                self._order_start(record, now)
                # The task may be listed as ready since before its record.
                self.waiting.mark((get_job(record.task),))
            case RunEnded(task, end=end, at=at):
                self.waiting.in_flight.discard(task)
                if end != RunEnd.lost:
                    self.unstarted.note_started((task,))
                job_id = get_job(task)
                self.waiting.mark((job_id,))
                self._log_end(job_id, at)
            case JobAccepted():
                self.waiting.mark((record.spec.job,))
                self.unstarted.note_open(self.state.jobs.jobs[record.spec.job])
            case JobCancelled(job, at) | JobFailed(job, at):
                self._stop_job(job)
                self.unstarted.discard(job)
                self._log_end(job, at)

    def note_announced(self, announced: Announced, now: Moment) -> bool:
        """Take an announcement; tell whether it has to be recorded."""
        session = self.sessions.get(announced.worker)
        if session is None:
            self._add_session(announced, now, now.steady)
        elif session.is_older(announced):
            # The announcement was held up on its way.
            return False
        else:
            ended = session.note_announced(announced, now.steady)
            self._commit_ends(session, ended, now)
        recorded = self.state.workers.workers.get(announced.worker)
        is_news = recorded is None or announced.differs(recorded)
        if is_news:
            belief = 'leaving' if announced.is_leaving else 'up'
            _log_belief(announced, belief)
        return is_news

    def note_left(self, worker: WorkerId, now: Moment) -> None:
        """Take the word of a worker that it ends now."""
        session = self.sessions.get(worker)
        if session is not None and session.gone_at is None:
            session.gone_at = now.steady
            _log_belief(session.announced, 'gone')

    def note_hold(
        self,
        session: WorkerSession,
        answer: HoldAnswer,
        sent_at: float,
        now: Moment,
    ) -> None:
        """Take the answer to a look."""
        was_silent = session.is_silent
        ended = take_look(session, answer, sent_at, now.steady)
        self.unstarted.note_started(report.task for report in answer.running)
        _log_silence(session, was_silent=was_silent)
        self._commit_ends(session, ended, now)
        if session.health.quarantine_if_bad(now.steady):
            worker = session.announced.worker
            log_event(WorkerQuarantinedEvent(worker, 'runs fail in a row'))

    def note_start(
        self,
        session: WorkerSession,
        order: StartOrder,
        answer: OrderAnswer,
        now: Moment,
    ) -> None:
        """Take the answer to an order to start."""
        was_silent = session.is_silent
        ended = session.note_start(order, answer, now.steady)
        if answer.outcome == OrderOutcome.done:
            self.unstarted.note_started((order.task,))
        _log_silence(session, was_silent=was_silent)
        self._commit_ends(session, ended, now)

    def note_stop(
        self,
        session: WorkerSession,
        order: StopOrder,
        answer: OrderAnswer,
        now: Moment,
    ) -> None:
        """Take the answer to an order to stop."""
        ended = session.note_stop(order, answer, now.steady)
        self._commit_ends(session, ended, now)

    def tick(self, now: Moment) -> None:
        """Act on what time brings, then place what is ready."""
        for session in list(self.sessions.values()):
            self._commit_ends(session, session.expire(now.steady), now)
            self._order_again(session, now)
            if _is_gone(session, now):
                self._forget_session(session)
        self._expire_inherited(now)
        if now.steady - self.forgot_at > _FORGET_SECONDS:
            self.forgot_at = now.steady
            self._forget_jobs(now)
        self.waiting.mark_due()
        self._place_all(now)
        self.waiting_log.tell_due(self.sessions.values(), now)

    def place(self, now: Moment) -> None:
        """Start what is ready where work or room has come."""
        services = self.waiting.take_changed(now.wall)
        services |= self.index.take_freed()
        queues = self.waiting.get_queues(now.wall)
        records: list[Record] = []
        for service in sorted(services.intersection(queues)):
            placement = self._make_placement(service, now)
            self._place_from(0, queues[service], placement, now, records)
        self._give_orders(records, now)

    def has_session(self, session: WorkerSession) -> bool:
        """Tell whether a session is that of its worker."""
        return self.sessions.get(session.announced.worker) is session

    def has_runs(self, worker: WorkerId) -> bool:
        """Tell whether anything may run on a worker."""
        session = self.sessions.get(worker)
        return session is not None and bool(session.runs)

    def get_sessions(self, service: ServiceName) -> list[WorkerSession]:
        """Get the workers of a service."""
        return [
            session
            for session in self.sessions.values()
            if session.announced.service == service
        ]

    def get_usable(
        self,
        service: ServiceName,
        now: Moment,
    ) -> list[WorkerSession]:
        """Get the workers of a service that may get new work."""
        return [
            session
            for session in self.get_sessions(service)
            if session.may_start(now.steady)
        ]

    def _place_all(self, now: Moment) -> None:
        """Start what is ready where time alone may have brought room."""
        records: list[Record] = []
        for service, queue in self.waiting.get_queues(now.wall).items():
            placement = self._make_placement(service, now)
            at = self._place_from(0, queue, placement, now, records)
            at = max(at, queue.get_turn())
            at = self._place_from(at, queue, placement, now, records)
            queue.end_turn(at)
        self._give_orders(records, now)

    def _make_placement(self, service: ServiceName, now: Moment) -> Placement:
        return Placement(self.index, service, now.steady, self.effort)

    def _place_from(
        self,
        begin: int,
        queue: WaitingQueue,
        placement: Placement,
        now: Moment,
        records: list[Record],
    ) -> int:
        """Place jobs until enough of them got no room; tell where it ended.

        Answers a backlog in which the first jobs find no room: a pass is
        bounded, and jobs behind them get what they cannot use in turns.
        """
        at = begin
        while at < min(len(queue.jobs), begin + _UNPLACED_JOBS):
            waiting = queue.jobs[at]
            records.extend(self.starts.place_job(waiting, placement, now))
            # A job leaves the queue once all its tasks have room.
            at += self.waiting.has(waiting)
        return at

    def _give_orders(self, records: list[Record], now: Moment) -> None:
        if records:
            self.effects.append(CommitBatch(tuple(records)))
        for session in self.index.get_stopping():
            for order in session.get_stops(now.steady):
                self.effects.append(SendStop(session, order))
        self.run_log.flush_due(now)

    def _add_session(
        self,
        announced: Announced,
        now: Moment,
        lapse_at: float,
    ) -> None:
        runs = self.inherited.take(announced.worker)
        if runs:
            lapse_at = max(lapse_at, self.inherited.lapse_at)
        session = WorkerSession(
            announced,
            self.fencing_token,
            self.terms,
            WorkerLease(self.terms, lapse_at),
            heard_at=now.steady,
        )
        session.watcher = self.index
        session.tell_freed()
        self.sessions[announced.worker] = session
        self.effects.append(WatchWorker(session))
        for run in runs:
            session.add_run(run)
            if run.is_stop_wanted:
                session.want_stop(run)

    def _expire_inherited(self, now: Moment) -> None:
        lapsed = self.inherited.expire(now.steady)
        if lapsed:
            self.waiting.in_flight.update(run.task for run in lapsed)
            records = [
                RunEnded(run.task, run.run, RunEnd.lost, '', now.wall)
                for run in lapsed
            ]
            self.effects.append(CommitBatch(tuple(records)))

    def _log_change(self, *, holds: bool) -> None:
        log_event(
            HolderChangedEvent(
                self.fencing_token,
                holds,
                len(self.sessions),
                sum(1 for _ in self.state.jobs.get_open()),
            ),
        )

    def _find_job(self, task: TaskId) -> Job | None:
        return self.state.jobs.jobs.get(get_job(task))

    def _order_start(self, record: RunStarted, now: Moment) -> None:
        self.job_log.note_start(get_job(record.task), now.wall)
        self.waiting.in_flight.discard(record.task)
        session = self.sessions.get(record.worker)
        run = None if session is None else session.runs.get(record.task)
        job = self._find_job(record.task)
        if job is None or not job.has_run(record):
            # The job has ended, or an earlier holder's start came first.
            if session is not None and run is not None:
                _drop_recorded(session, run, record)
            return
        if session is None or run is None or run.run != record.run:
            # The worker's life ended while the start was recorded.
            self._commit_lost(record, now)
            return
        order = None
        if job.is_open and not run.is_stop_wanted:
            order = session.make_start(run, job.spec.text, now.steady)
        if order is None:
            session.remove_run(run.task)
            self._commit_lost(record, now)
        else:
            self.effects.append(SendStart(session, order))

    def _commit_lost(self, record: RunStarted, now: Moment) -> None:
        self.waiting.in_flight.add(record.task)
        lost = RunEnded(record.task, record.run, RunEnd.lost, '', now.wall)
        self.effects.append(CommitBatch((lost,)))

    def _order_again(self, session: WorkerSession, now: Moment) -> None:
        for run in session.get_unanswered(now.steady):
            job = self._find_job(run.task)
            if job is None or not job.is_open or run.is_stop_wanted:
                session.want_stop(run)
                continue
            order = session.make_start(run, job.spec.text, now.steady)
            if order is not None:
                self.effects.append(SendStart(session, order))

    def _commit_ends(
        self,
        session: WorkerSession,
        ended: Iterable[EndedRun],
        now: Moment,
    ) -> None:
        records = tuple(self.ends.get_records(session, ended, now))
        number = session.numbers.hand_over()
        if records or number:
            self.effects.append(
                CommitBatch(
                    records,
                    session,
                    session.announced.incarnation,
                    number,
                ),
            )

    def _log_end(self, job_id: JobId, at: float) -> None:
        job = self.state.jobs.jobs.get(job_id)
        if job is not None and not job.is_open:
            self.job_log.note_end(job, at)

    def _stop_job(self, job_id: JobId) -> None:
        self.waiting.mark((job_id,))
        job = self.state.jobs.jobs.get(job_id)
        # The log refuses starts of an ended job that are on their way.
        for task_id, task in () if job is None else job.tasks.items():
            session = self.sessions.get(task.worker)
            run = None if session is None else session.runs.get(task_id)
            if session is not None and run is not None:
                session.want_stop(run)

    def _forget_session(self, session: WorkerSession) -> None:
        announced = session.announced
        self.sessions.pop(announced.worker)
        session.watcher = None
        self.index.remove(session)
        record = WorkerGone(announced.worker, announced.incarnation)
        self.effects.append(CommitBatch((record,)))

    def _forget_jobs(self, now: Moment) -> None:
        old = tuple(
            job.spec.job
            for job in self.state.jobs.jobs.values()
            if _is_forgettable(job, now)
        )
        if old:
            self.job_log.forget(old)
            self.effects.append(CommitBatch((JobsForgotten(old),)))


def _log_belief(announced: Announced, belief: str) -> None:
    log_event(
        WorkerBelievedEvent(
            announced.worker,
            announced.service,
            belief,
            announced.incarnation,
        ),
    )


def _drop_recorded(
    session: WorkerSession,
    run: Run,
    record: RunStarted,
) -> None:
    if run.run == record.run and run.state == RunState.recorded:
        session.remove_run(run.task)


def _log_silence(session: WorkerSession, *, was_silent: bool) -> None:
    if session.is_silent != was_silent:
        belief = 'silent' if session.is_silent else 'answering'
        _log_belief(session.announced, belief)


def _is_gone(session: WorkerSession, now: Moment) -> bool:
    if session.runs or now.steady < session.lease.lapse_at:
        return False
    if session.gone_at is not None:
        return True
    silent = now.steady - max(session.heard_at, session.reached_at)
    return silent > _SILENT_SECONDS


def _is_forgettable(job: Job, now: Moment) -> bool:
    if job.is_open or any(task.worker for task in job.tasks.values()):
        return False
    return job.ended_at + _STATUS_SECONDS < now.wall
