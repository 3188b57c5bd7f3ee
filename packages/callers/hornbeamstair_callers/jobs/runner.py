"""Endpoint of the scheduler; commits its records and sends its orders."""

from asyncio import Task, create_task, get_running_loop
from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any, Final

from attrs import Factory, define, field
from expression import Error, Result

from hornbeamstair_callers.endpoints.committing import (
    EntryCommitter,
    is_in_term,
)
from hornbeamstair_callers.endpoints.worker_poller import WorkerPoller
from hornbeamstair_callers.jobs.effects import (
    CommitBatch,
    PollWorker,
    SendStart,
    SendStop,
)
from hornbeamstair_callers.jobs.meter import measure_scheduler
from hornbeamstair_callers.jobs.placement_event_log import PlacementEventLog
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.jobs.service import RecordCommitter
from hornbeamstair_core.background import repeat
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_core.step_failures import log_step_failure
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_upstreams.work.drain_stops import handle_stop_outcome
from hornbeamstair_upstreams.work.leases import LeaseTerms
from hornbeamstair_upstreams.work.messages import OrderOutcome, PollAnswer
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WorkRunner',)

_TICK_SECONDS: Final = 0.05
# Events that arrive within this time share one placement pass.
_BATCH_SECONDS: Final = 0.004


def _make_poller(runner: 'WorkRunner') -> WorkerPoller:
    return WorkerPoller(
        runner.sender,
        runner.metrics,
        lambda: runner.get_moment().monotonic,
        runner.leads,
        runner._is_current_session,
        runner._handle_poll,
    )


def _make_committer(runner: 'WorkRunner') -> EntryCommitter:
    return EntryCommitter(
        runner.group,
        runner.machine.codec,
        runner._handle_committed,
    )


def _make_placement_event_log(runner: 'WorkRunner') -> PlacementEventLog:
    return PlacementEventLog(
        runner.metrics, lambda: runner.get_moment().monotonic
    )


@define(eq=False)
class WorkRunner(RecordCommitter):
    """Runs a scheduler in each term in which this process leads."""

    group: VotingGroup
    machine: TableStateMachine
    state: SchedulerState
    sender: WorkerSender
    terms: LeaseTerms
    metrics: Metrics
    get_moment: Callable[[], Moment]
    # Workers whose hosts may go down or leave the pool by an order in progress.
    get_reserved_workers: Callable[[], Collection[WorkerId]]
    # Each term begins with new policies.
    make_policies: Callable[[], SchedulingPolicies] = SchedulingPolicies
    placement_event_log: PlacementEventLog = field(
        default=Factory(_make_placement_event_log, takes_self=True),
        init=False,
    )
    scheduler: Scheduler | None = field(default=None, init=False)
    tick_task: 'Task[None] | None' = field(default=None, init=False)
    poller: WorkerPoller = field(
        default=Factory(_make_poller, takes_self=True),
        init=False,
    )
    committer: EntryCommitter = field(
        default=Factory(_make_committer, takes_self=True),
        init=False,
    )
    tasks: 'set[Task[None]]' = field(factory=set, init=False)
    is_pass_scheduled: bool = field(default=False, init=False)
    is_execution_scheduled: bool = field(default=False, init=False)
    is_stopping: bool = field(default=False, init=False)

    def start(self) -> None:
        """Start the ticks; they schedule whenever this process leads."""
        self.tick_task = create_task(repeat('scheduler ticks', self._tick))

    async def stop(self) -> None:
        """Stop scheduling and sending orders."""
        self.is_stopping = True
        if self.tick_task is not None:
            self.tick_task.cancel()
        self._stop_scheduler()
        await self.sender.close()

    def leads(self) -> bool:
        """Return whether no other process can have become the leader."""
        return not self.is_stopping and self.group.can_serve()

    def find_scheduler(self) -> Scheduler | None:
        """Find the scheduler while this process leads."""
        return self.scheduler if self.leads() else None

    async def commit(
        self,
        records: Sequence[Record],
    ) -> Result[None, Failure]:
        """Commit records; they are applied when the call returns."""
        payload = self.machine.codec.encode(records)
        role = self.group.find_leader_role()
        if role.is_error():
            return Error(role.error)
        term = self.group.node.voter.state.term
        outcome = await self.group.propose_once(payload, term=term)
        return outcome.map(lambda _: None)

    def on_applied(self, record: Record) -> None:
        """Pass a record to the scheduler, even if its proposer gave up."""
        scheduler = self.scheduler
        if scheduler is None or not self._is_in_term(scheduler):
            # The record may be of the next leader, which handles it itself.
            return
        try:
            scheduler.handle_applied(record, self.get_moment())
        except Exception as error:
            # The log goes on: the record is applied on every voter.
            log_step_failure('scheduling of applied records', error)
        self._schedule_pass()
        if not self.is_execution_scheduled:
            self.is_execution_scheduled = True
            get_running_loop().call_soon(self._execute_applied_effects)

    async def _tick(self) -> float:
        self._follow_leadership()
        scheduler = self.find_scheduler()
        if scheduler is not None:
            self._measure_pass(scheduler.tick, scheduler)
            self._execute_effects(scheduler)
            self.poller.poll_all(scheduler.sessions.values())
        measure_scheduler(self.metrics, scheduler)
        return _TICK_SECONDS

    def _is_in_term(self, scheduler: Scheduler) -> bool:
        return is_in_term(self.group, scheduler.fencing_token)

    def _follow_leadership(self) -> None:
        scheduler = self.scheduler
        if scheduler is not None and not self._is_in_term(scheduler):
            self._stop_scheduler()
        if self.scheduler is None and self.leads():
            self._start_scheduler(self.group.node.voter.state.term)

    def _start_scheduler(self, term: int) -> None:
        now = self.get_moment()
        self.scheduler = Scheduler(
            self.state, term, self.terms, policies=self.make_policies()
        )
        self.state.jobs.record_listener = self
        self.scheduler.start(now, self.get_reserved_workers())

    def _stop_scheduler(self) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            return
        self.scheduler = None
        self.state.jobs.record_listener = None
        for task in self.tasks:
            task.cancel()
        self.poller.cancel_polls()
        self.committer.cancel_commits()
        scheduler.stop()

    def _schedule_pass(self) -> None:
        if not self.is_pass_scheduled:
            self.is_pass_scheduled = True
            get_running_loop().call_later(_BATCH_SECONDS, self._place)

    def _place(self) -> None:
        self.is_pass_scheduled = False
        scheduler = self.find_scheduler()
        if scheduler is not None:
            self._measure_pass(scheduler.place, scheduler)
            self._execute_effects(scheduler)

    def _measure_pass(
        self,
        decide: Callable[[Moment], None],
        scheduler: Scheduler,
    ) -> None:
        moment = self.get_moment()
        self.placement_event_log.measure(
            lambda: decide(moment), scheduler.stats
        )

    def _execute_applied_effects(self) -> None:
        self.is_execution_scheduled = False
        if self.scheduler is not None:
            self._execute_effects(self.scheduler)

    def _execute_effects(self, scheduler: Scheduler) -> None:
        for effect in scheduler.drain_effects():
            match effect:
                case PollWorker(session):
                    self.poller.start_polling(session)
                case CommitBatch():
                    self.committer.add(effect, scheduler.fencing_token)
                case SendStart():
                    self._start_task(self._send_start(scheduler, effect))
                case SendStop():
                    self._start_task(self._send_stop(scheduler, effect))

    def _handle_committed(self, batch: CommitBatch) -> None:
        if self.scheduler is not None:
            self.scheduler.handle_committed(batch)
        if batch.session is not None:
            self.poller.wake_poll(batch.session)

    def _is_current_session(self, session: WorkerSession) -> bool:
        scheduler = self.scheduler
        return scheduler is not None and scheduler.is_current_session(session)

    def _handle_poll(
        self,
        session: WorkerSession,
        answer: PollAnswer,
        sent_at: float,
    ) -> None:
        scheduler = self.scheduler
        if scheduler is not None:
            scheduler.handle_poll(session, answer, sent_at, self.get_moment())
            self._execute_effects(scheduler)
            self._schedule_pass()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(_log_sender_failure)

    async def _send_start(
        self,
        scheduler: Scheduler,
        effect: SendStart,
    ) -> None:
        if not self.leads():
            # The leader lease may be renewed in this term; keep the order.
            effect.session.handle_unsent(effect.order)
            return
        answer = await self.sender.start(effect.order, effect.valid_until)
        now = self.get_moment()
        scheduler.handle_start_answer(effect.session, effect.order, answer, now)
        # The next poll may wait for the answer to acknowledge ends.
        self.poller.wake_poll(effect.session)
        if answer.outcome != OrderOutcome.done:
            self._schedule_pass()
        self._execute_effects(scheduler)

    async def _send_stop(
        self,
        scheduler: Scheduler,
        effect: SendStop,
    ) -> None:
        if not self.leads():
            unsent = OrderOutcome.unsent
            handle_stop_outcome(effect.session, effect.order, unsent)
            return
        answer = await self.sender.stop(effect.order, effect.valid_until)
        now = self.get_moment()
        scheduler.handle_stop_answer(effect.session, effect.order, answer, now)
        self._execute_effects(scheduler)


def _log_sender_failure(task: 'Task[None]') -> None:
    error = None if task.cancelled() else task.exception()
    if isinstance(error, Exception):
        # The scheduler sends orders without an outcome again.
        log_step_failure('orders to workers', error)
