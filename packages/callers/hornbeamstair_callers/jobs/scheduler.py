"""Scheduler of the leader; turns events and clock ticks into effects."""

from collections.abc import Collection, Iterable
from typing import Final

from attrs import define, field, frozen
from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.crash_review import CrashReview
from hornbeamstair_callers.jobs.displacement import BackfillDisplacement
from hornbeamstair_callers.jobs.effects import (
    CommitBatch,
    PollWorker,
    SendStart,
    SendStop,
)
from hornbeamstair_callers.jobs.ends import EndRecorder
from hornbeamstair_callers.jobs.inheritance import InheritedRuns
from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.job_event_log import JobEventLog
from hornbeamstair_callers.jobs.leader_event_log import log_leader_change
from hornbeamstair_callers.jobs.messages import get_job_id
from hornbeamstair_callers.jobs.passes import PlacementPasses
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_callers.jobs.recorded_runs import (
    discard_recorded_run,
    make_first_start,
)
from hornbeamstair_callers.jobs.records import (
    JobAccepted,
    JobCancelled,
    JobFailed,
    JobsForgotten,
    RunEnded,
    RunStarted,
)
from hornbeamstair_callers.jobs.run_event_log import RunEventLog
from hornbeamstair_callers.jobs.run_time_learning import RunTimeLearner
from hornbeamstair_callers.jobs.stall_event_logs import StallEventLogs
from hornbeamstair_callers.jobs.starts import StartPlanner
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.unstarted import UnstartedJobs
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_event_log import WaitingEventLog
from hornbeamstair_callers.jobs.worker_event_log import WorkerEventLog
from hornbeamstair_callers.jobs.worker_records import WorkerSurvived
from hornbeamstair_callers.workspaces.policies import WorkspacePolicies
from hornbeamstair_core.effects import Effect
from hornbeamstair_core.failures import Failure, InvalidFieldFailure
from hornbeamstair_core.ids import JobId, ServiceName, TaskId, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_upstreams.work.fencing import FencingTokens
from hornbeamstair_upstreams.work.index import WorkerIndex
from hornbeamstair_upstreams.work.leases import LeaseTerms
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    RunEnd,
    StartOrder,
    StopOrder,
    WorkerAnnouncement,
)
from hornbeamstair_upstreams.work.polls import handle_poll_answer
from hornbeamstair_upstreams.work.recent_workers import RecentWorkers
from hornbeamstair_upstreams.work.runs import EndedRun, Run
from hornbeamstair_upstreams.work.sender import ORDER_VALID_SECONDS
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.stats import PlacementStats
from hornbeamstair_upstreams.work.table import WorkerTable

__all__ = ('Scheduler', 'SchedulerState')

# An unresponsive worker without runs is removed after this time.
_UNRESPONSIVE_SECONDS: Final = 12.0
# Callers can query the state of an ended job for this time.
_ENDED_JOB_SECONDS: Final = 180.0
_FORGET_INTERVAL_SECONDS: Final = 5.0


@frozen
class SchedulerState:
    """Replicated tables that the scheduler reads."""

    jobs: JobTable
    manifest: ManifestTable
    workers: WorkerTable


@define(eq=False)
class Scheduler:
    """Scheduling decisions of the leader, without any I/O.

    Exactly one instance exists for a term of its process as the leader: a
    second one would issue fencing tokens of that term again. The term is the
    token of its orders about hosts, and each incarnation of a worker has a
    token of that term. It acts only on committed records.
    """

    state: SchedulerState
    fencing_token: int
    terms: LeaseTerms
    tokens: FencingTokens = field(init=False)
    recent_workers: RecentWorkers = field(factory=RecentWorkers, init=False)
    sessions: dict[WorkerId, WorkerSession] = field(factory=dict)
    policies: SchedulingPolicies = field(factory=SchedulingPolicies)
    index: WorkerIndex = field(factory=WorkerIndex, init=False)
    effects: list[Effect] = field(factory=list)
    jobs_forgotten_at: float = 0
    inherited: InheritedRuns = field(init=False)
    unstarted: UnstartedJobs = field(factory=UnstartedJobs, init=False)
    stats: PlacementStats = field(factory=PlacementStats, init=False)
    worker_event_log: WorkerEventLog = field(factory=WorkerEventLog, init=False)
    job_event_log: JobEventLog = field(init=False)
    run_event_log: RunEventLog = field(init=False)
    waiting: WaitingJobs = field(init=False)
    waiting_event_log: WaitingEventLog = field(init=False)
    stall_event_logs: StallEventLogs = field(init=False)
    workspaces: WorkspacePolicies = field(init=False)
    starts: StartPlanner = field(init=False)
    passes: PlacementPasses = field(init=False)
    displacement: BackfillDisplacement = field(init=False)
    ends: EndRecorder = field(init=False)
    crash_review: CrashReview = field(init=False)
    run_time_learner: RunTimeLearner = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components that share the index of waiting jobs."""
        state = self.state
        self.tokens = FencingTokens(self.fencing_token)
        self.inherited = InheritedRuns(self.terms.make_lease(0))
        self.workspaces = WorkspacePolicies.make(
            state.manifest,
            state.jobs.usage,
            state.jobs.jobs.values(),
            self.policies.run_times,
        )
        self.waiting = WaitingJobs(
            state.jobs, state.manifest, self.workspaces.ranking
        )
        self.waiting_event_log = WaitingEventLog(self.waiting)
        self.stall_event_logs = StallEventLogs(
            self.fencing_token,
            state.jobs,
            self.waiting,
            self.sessions,
            self.inherited,
            self.workspaces.quotas,
        )
        self.job_event_log = JobEventLog(
            state.manifest, self.policies.run_times
        )
        self.run_event_log = RunEventLog(self.fencing_token)
        self.starts = StartPlanner(
            self.waiting,
            self.run_event_log,
            self.stats,
            self.workspaces.quotas,
            self.policies,
        )
        self.passes = PlacementPasses(
            self.waiting,
            self.starts,
            self.index,
            self.workspaces.quotas,
            self.workspaces.shares,
        )
        self.displacement = BackfillDisplacement.make(
            self.waiting, self.index, self.workspaces.quotas, self.terms
        )
        self.ends = EndRecorder(
            state.jobs,
            state.manifest,
            self.waiting,
            self.run_event_log,
        )
        self.crash_review = CrashReview(state.jobs, self.sessions)
        self.run_time_learner = RunTimeLearner(
            state.jobs, self.policies.get_learning()
        )

    def start(self, now: Moment, reserved: Collection[WorkerId] = ()) -> None:
        """Take over the workers and the runs of the previous leader.

        The hosts of reserved workers may go down or leave the pool by an
        order of the previous leader.
        """
        longest = self.terms.expiry_delay
        self.inherited.lease = self.terms.make_lease(now.monotonic + longest)
        self.inherited.add_jobs(self.state.jobs.jobs.values(), now)
        for announced in self.state.workers.workers.values():
            self._add_session(announced, now, now.monotonic + longest)
        for worker in reserved:
            session = self.sessions.get(worker)
            if session is not None:
                session.is_reserved = True
        self.waiting.mark_stale(self.state.jobs.jobs)
        for job in self.state.jobs.get_open():
            self.unstarted.add_job(job)
        self.run_time_learner.learn_all()
        self._log_leader_change(holds=True)

    def stop(self) -> None:
        """Flush the buffered log events; another process may lead."""
        self.run_event_log.flush()
        self._log_leader_change(holds=False)

    def drain_effects(self) -> list[Effect]:
        """Return and clear the effects added since the last call."""
        effects = self.effects
        self.effects = []
        return effects

    def handle_committed(self, batch: CommitBatch) -> None:
        """Acknowledge ends to their worker once their records are applied."""
        if batch.session is not None:
            batch.session.handle_recorded(batch.incarnation, batch.cursor)

    def handle_applied(self, record: Record, now: Moment) -> None:
        """React to an applied record, whichever process proposed it."""
        match record:
            case RunStarted():
                self._handle_started(record, now)
                # The list of ready tasks may predate the record.
                self.waiting.mark_stale((get_job_id(record.task),))
            case RunEnded():
                self._handle_ended(record)
            case JobAccepted():
                self.waiting.mark_stale((record.spec.job,))
                self._add_accepted(record.spec.job)
            case JobCancelled(job, at) | JobFailed(job, at):
                self._stop_job(job)
                self.unstarted.discard(job)
                self._log_job_end(job, at)

    def check_identity(
        self, announced: WorkerAnnouncement
    ) -> Result[WorkerAnnouncement, Failure]:
        """Refuse an announcement that contradicts its incarnation.

        An incarnation of a worker never changes its service or its address.
        """
        session = self.sessions.get(announced.worker)
        if session is not None and session.is_contradicted_by(announced):
            reason = 'is in use by another worker'
            return Error(InvalidFieldFailure('worker', reason))
        return Ok(announced)

    def handle_announcement(
        self, announced: WorkerAnnouncement, now: Moment
    ) -> bool:
        """Handle an announcement; return whether it must be recorded."""
        session = self.sessions.get(announced.worker)
        if session is None:
            self._add_session(announced, now, now.monotonic)
        elif session.is_older(announced):
            # The announcement was delayed in transit.
            return False
        else:
            ended = session.handle_announcement(announced, now.monotonic)
            self._commit_ends(session, ended, now)
        recorded = self.state.workers.workers.get(announced.worker)
        is_news = recorded is None or announced.differs(recorded)
        if is_news:
            state = 'leaving' if announced.is_leaving else 'up'
            self.worker_event_log.log_state(announced, state)
        return is_news

    def handle_withdrawal(self, worker: WorkerId, now: Moment) -> None:
        """Handle the notice of a worker that it terminates now."""
        session = self.sessions.get(worker)
        if session is not None and session.terminated_at is None:
            session.terminate(now.monotonic)
            self.worker_event_log.log_state(session.announced, 'gone')

    def handle_poll(
        self,
        session: WorkerSession,
        answer: PollAnswer,
        sent_at: float,
        now: Moment,
    ) -> None:
        """Handle the answer to a poll."""
        was_unresponsive = session.is_unresponsive
        ended = handle_poll_answer(session, answer, sent_at, now.monotonic)
        self.unstarted.remove_started(report.task for report in answer.running)
        self.worker_event_log.log_responsiveness(
            session, was_unresponsive=was_unresponsive
        )
        self._commit_ends(session, ended, now)
        if sent_at > session.expired_at:
            self._report_survival(session, now)
        if session.health.quarantine_if_unhealthy(now.monotonic):
            self.worker_event_log.log_quarantine(
                session, 'consecutive runs failed'
            )

    def handle_start_answer(
        self,
        session: WorkerSession,
        order: StartOrder,
        answer: OrderAnswer,
        now: Moment,
    ) -> None:
        """Handle the answer to a start order."""
        was_unresponsive = session.is_unresponsive
        ended = session.handle_start_answer(order, answer, now.monotonic)
        if answer.outcome == OrderOutcome.done:
            self.unstarted.remove_started((order.task,))
        self.worker_event_log.log_responsiveness(
            session, was_unresponsive=was_unresponsive
        )
        self._commit_ends(session, ended, now)

    def handle_stop_answer(
        self,
        session: WorkerSession,
        order: StopOrder,
        answer: OrderAnswer,
        now: Moment,
    ) -> None:
        """Handle the answer to a stop order."""
        ended = session.handle_stop_answer(order, answer, now.monotonic)
        self._commit_ends(session, ended, now)

    def tick(self, now: Moment) -> None:
        """Handle expired leases and due retries, then place ready tasks."""
        reviewed = self.crash_review.get_due_records(now)
        if reviewed:
            self.effects.append(CommitBatch(tuple(reviewed)))
        self.index.checks.check_due(
            now.monotonic,
            lambda session: self._check_session(session, now),
        )
        self._expire_inherited(now)
        if now.monotonic - self.jobs_forgotten_at > _FORGET_INTERVAL_SECONDS:
            self.jobs_forgotten_at = now.monotonic
            self._forget_jobs(now)
        self.waiting.mark_repeating()
        self._place_all(now)
        self.waiting_event_log.log_due(self.sessions.values(), now)
        self.workspaces.event_log.log_due(self.waiting.ready.values(), now)
        self.stall_event_logs.log_due(now)

    def place(self, now: Moment) -> None:
        """Place ready tasks of services with new work or freed resources."""
        services = self.waiting.drain_changed_services(now.wall)
        services |= self.index.drain_freed()
        services |= self.waiting.get_services(
            self.workspaces.quotas.drain_eased()
        )
        queues = self.waiting.get_queues(now.wall)
        records: list[Record] = []
        for service in sorted(services.intersection(queues)):
            records.extend(
                self.passes.place_first(service, queues[service], now)
            )
        self._emit_effects(records, now)

    def is_current_session(self, session: WorkerSession) -> bool:
        """Return whether a session is the current one of its worker."""
        return self.sessions.get(session.announced.worker) is session

    def has_runs(self, worker: WorkerId) -> bool:
        """Return whether a worker may have runs."""
        session = self.sessions.get(worker)
        return session is not None and bool(session.runs)

    def reserve(self, worker: WorkerId) -> None:
        """Place nothing more on a worker whose host may go down."""
        session = self.sessions.get(worker)
        if session is not None:
            session.is_reserved = True

    def get_sessions(self, service: ServiceName) -> list[WorkerSession]:
        """Get the workers of a service."""
        return list(self.index.get_service_workers(service).indexed_racks)

    def get_usable_sessions(
        self,
        service: ServiceName,
        now: Moment,
    ) -> list[WorkerSession]:
        """Get the workers of a service that accept new runs."""
        return [
            session
            for session in self.get_sessions(service)
            if session.may_start(now.monotonic)
        ]

    def _report_survival(self, session: WorkerSession, now: Moment) -> None:
        """Report that a worker that had fallen silent answers again."""
        announced = session.announced
        incarnation = (announced.worker, announced.incarnation)
        is_news = incarnation in self.state.jobs.lost_workers
        if is_news and session.answered_at == now.monotonic:
            self.effects.append(CommitBatch((WorkerSurvived(*incarnation),)))

    def _check_session(self, session: WorkerSession, now: Moment) -> None:
        self._commit_ends(session, session.expire(now.monotonic), now)
        self._resend_starts(session, now)
        if _is_expired_session(session, now):
            self._forget_session(session, now)
        else:
            check_time = session.get_check_time(now.monotonic)
            self.index.checks.add(session, check_time)

    def _place_all(self, now: Moment) -> None:
        """Place ready tasks of all services.

        Workers may have become usable without any event.
        """
        records: list[Record] = []
        self.workspaces.quotas.retry_held()
        self.workspaces.shares.refresh(self.sessions.values(), now.monotonic)
        for service, queue in self.waiting.get_queues(now.wall).items():
            records.extend(self.passes.place_all(service, queue, now))
        self.displacement.displace(now)
        self._emit_effects(records, now)

    def _emit_effects(self, records: list[Record], now: Moment) -> None:
        if records:
            self.effects.append(CommitBatch(tuple(records)))
        valid_until = now.monotonic + ORDER_VALID_SECONDS
        for session in self.index.get_stopping():
            for order in session.get_stops(now.monotonic):
                self.effects.append(SendStop(session, order, valid_until))
        self.run_event_log.flush_due(now)

    def _add_session(
        self,
        announced: WorkerAnnouncement,
        now: Moment,
        latest_expiry: float,
    ) -> None:
        runs = self.inherited.pop_runs(announced.worker)
        if runs:
            latest_expiry = max(
                latest_expiry, self.inherited.lease.latest_expiry
            )
        session = WorkerSession(
            announced,
            self.tokens,
            self.terms,
            self.terms.make_lease(latest_expiry),
            announced_at=now.monotonic,
        )
        self.recent_workers.prune(now.monotonic)
        is_recorded = announced.worker in self.state.workers.workers
        arrival = self.recent_workers.get_latest_arrival(announced.worker)
        if arrival is not None:
            session.acknowledgements.starts_until = arrival
        is_recent = arrival is not None
        session.is_returning = is_recorded or is_recent or bool(runs)
        session.observer = self.index
        session.notify_freed()
        self.index.on_check_due(session)
        self.sessions[announced.worker] = session
        self.effects.append(PollWorker(session))
        for run in runs:
            session.add_run(run)
            if run.is_stop_requested:
                session.request_stop(run)

    def _expire_inherited(self, now: Moment) -> None:
        expired = self.inherited.expire(now)
        if expired:
            for record in expired:
                self.waiting.in_flight[record.task] = now.monotonic
            self.effects.append(CommitBatch(expired))

    def _log_leader_change(self, *, holds: bool) -> None:
        log_leader_change(
            self.fencing_token,
            len(self.sessions),
            self.state.jobs,
            holds=holds,
        )

    def _find_job(self, task: TaskId) -> Job | None:
        return self.state.jobs.jobs.get(get_job_id(task))

    def _add_accepted(self, job_id: JobId) -> None:
        job = self.state.jobs.jobs[job_id]
        if not job.is_open:
            # It was cancelled before.
            self._log_job_end(job_id, job.ended_at)
            return
        self.workspaces.promises.add_job(job)
        self.unstarted.add_job(job)

    def _handle_started(self, record: RunStarted, now: Moment) -> None:
        self.job_event_log.add_start(get_job_id(record.task), now.wall)
        self.waiting.in_flight.pop(record.task, None)
        self.workspaces.quotas.settle(record.task)
        session = self.sessions.get(record.worker)
        run = None if session is None else session.runs.get(record.task)
        job = self._find_job(record.task)
        if job is None or not job.is_current_run(record):
            # The job has ended, or a start of a previous leader came first.
            if session is not None and run is not None:
                discard_recorded_run(session, run, record)
            return
        if session is None or run is None or run.run != record.run:
            # The worker's incarnation ended while the start was being recorded.
            self._commit_lost_run(record, now)
            return
        order = make_first_start(session, run, job, now)
        if order is None:
            session.remove_run(run.task)
            self._commit_lost_run(record, now)
        else:
            self._emit_start(session, order, now)

    def _handle_ended(self, record: RunEnded) -> None:
        job_id = get_job_id(record.task)
        self.waiting.in_flight.pop(record.task, None)
        self.unstarted.handle_end(record.task, record.end)
        self.stall_event_logs.overdue.handle_end(record.task, record.end)
        self.run_time_learner.learn(record.task)
        self.waiting.mark_stale((job_id,))
        self._log_job_end(job_id, record.at)

    def _commit_lost_run(self, record: RunStarted, now: Moment) -> None:
        self.waiting.in_flight[record.task] = now.monotonic
        lost = RunEnded(record.task, record.run, RunEnd.lost, '', now.wall)
        self.effects.append(CommitBatch((lost,)))

    def _resend_starts(self, session: WorkerSession, now: Moment) -> None:
        for run in session.get_unanswered(now.monotonic):
            order = self._renew_start(session, run, now)
            if order is not None:
                self._emit_start(session, order, now)

    def _emit_start(
        self,
        session: WorkerSession,
        order: StartOrder,
        now: Moment,
    ) -> None:
        valid_until = now.monotonic + ORDER_VALID_SECONDS
        self.effects.append(SendStart(session, order, valid_until))

    def _renew_start(
        self,
        session: WorkerSession,
        run: Run,
        now: Moment,
    ) -> StartOrder | None:
        """Make the start order of a run again, or request its stop."""
        job = self._find_job(run.task)
        is_obsolete = job is None or not job.is_open or run.is_stop_requested
        # The next leader tells from the record whether orders may be late.
        is_obsolete = is_obsolete or run.is_start_late(now.monotonic)
        # The worker may leave, or has restarted with other labels or resources.
        is_unfit = session.is_ending() or not session.has_label(run.needs)
        is_unfit = is_unfit or session.is_overcommitted()
        if job is None or is_obsolete or is_unfit:
            session.request_stop(run)
            return None
        if session.is_start_overdue(run, now.monotonic):
            session.abandon_start(run, now.monotonic)
            self.worker_event_log.log_quarantine(
                session, 'start orders have no answer'
            )
            return None
        return session.make_start(run, job.spec.text, now.monotonic)

    def _commit_ends(
        self,
        session: WorkerSession,
        ended: Iterable[EndedRun],
        now: Moment,
    ) -> None:
        records = tuple(self.ends.get_records(session, ended, now))
        number = session.end_cursor.submit_batch()
        if records or number:
            self.effects.append(
                CommitBatch(
                    records,
                    session,
                    session.announced.incarnation,
                    number,
                ),
            )

    def _log_job_end(self, job_id: JobId, at: float) -> None:
        job = self.state.jobs.jobs.get(job_id)
        if job is not None and not job.is_open:
            self.workspaces.promises.discard(job_id)
            self.job_event_log.log_end(job, at)

    def _stop_job(self, job_id: JobId) -> None:
        self.waiting.mark_stale((job_id,))
        job = self.state.jobs.jobs.get(job_id)
        # The job table refuses the start records of an ended job that are still
        # to be applied.
        for task_id, task in () if job is None else job.tasks.items():
            session = self.sessions.get(task.worker)
            run = None if session is None else session.runs.get(task_id)
            if session is not None and run is not None:
                session.request_stop(run)

    def _forget_session(self, session: WorkerSession, now: Moment) -> None:
        records = self.crash_review.get_last_records(session)
        worker = session.announced.worker
        self.recent_workers.add(worker, now.monotonic)
        self.sessions.pop(worker)
        session.detach()
        self.index.remove(session)
        self.effects.append(CommitBatch(tuple(records)))

    def _forget_jobs(self, now: Moment) -> None:
        old = tuple(
            job.spec.job
            for job in self.state.jobs.jobs.values()
            if _is_forgettable(job, now)
        )
        if old:
            self.job_event_log.forget(old)
            self.effects.append(CommitBatch((JobsForgotten(old),)))


def _is_expired_session(session: WorkerSession, now: Moment) -> bool:
    if session.runs or now.monotonic < session.lease.latest_expiry:
        return False
    if session.terminated_at is not None:
        return True
    contact_age = now.monotonic - max(session.announced_at, session.answered_at)
    return contact_age > _UNRESPONSIVE_SECONDS


def _is_forgettable(job: Job, now: Moment) -> bool:
    if job.is_open or any(task.worker for task in job.tasks.values()):
        return False
    return job.ended_at + _ENDED_JOB_SECONDS < now.wall
