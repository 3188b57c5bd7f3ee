"""Endpoint of the scheduler: commits its records and sends its orders."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any, Final

from attrs import Factory, define, field
from expression import Error, Result

from hornbeamstair_callers.endpoints.committing import (
    EntryCommitter,
    is_in_term,
)
from hornbeamstair_callers.endpoints.looking import WorkerLooks
from hornbeamstair_callers.jobs.effects import (
    CommitBatch,
    SendStart,
    SendStop,
    WatchWorker,
)
from hornbeamstair_callers.jobs.placement_log import PlacementLog
from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.jobs.service import RecordCommitter
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_upstreams.work.leases import LeaseTerms
from hornbeamstair_upstreams.work.messages import HoldAnswer, OrderOutcome
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WorkRunner',)

_TICK_SECONDS: Final = 0.05
# Events that arrive together are decided together.
_GATHER_SECONDS: Final = 0.004


def _make_looks(runner: 'WorkRunner') -> WorkerLooks:
    return WorkerLooks(
        runner.sender,
        runner.metrics,
        lambda: runner.get_moment().steady,
        runner.leads,
        runner._has_session,
        runner._note_look,
    )


def _make_committer(runner: 'WorkRunner') -> EntryCommitter:
    return EntryCommitter(
        runner.group,
        runner.machine.codec,
        runner._note_committed,
    )


def _make_placement_log(runner: 'WorkRunner') -> PlacementLog:
    return PlacementLog(runner.metrics, lambda: runner.get_moment().steady)


@define(eq=False)
class WorkRunner(RecordCommitter):
    """Scheduler of the terms in which this process leads."""

    group: VotingGroup
    machine: TableStateMachine
    state: SchedulerState
    sender: WorkerSender
    terms: LeaseTerms
    metrics: Metrics
    get_moment: Callable[[], Moment]
    # Workers whose hosts may go down or leave by an order in progress.
    get_held: Callable[[], Collection[WorkerId]]
    placement_log: PlacementLog = field(
        default=Factory(_make_placement_log, takes_self=True),
        init=False,
    )
    scheduler: Scheduler | None = field(default=None, init=False)
    ticking: 'Task[None] | None' = field(default=None, init=False)
    looks: WorkerLooks = field(
        default=Factory(_make_looks, takes_self=True),
        init=False,
    )
    committer: EntryCommitter = field(
        default=Factory(_make_committer, takes_self=True),
        init=False,
    )
    tasks: 'set[Task[None]]' = field(factory=set, init=False)
    is_gathering: bool = field(default=False, init=False)
    has_applied: bool = field(default=False, init=False)
    is_stopping: bool = field(default=False, init=False)

    def start(self) -> None:
        """Schedule whenever this process leads."""
        self.ticking = create_task(self._keep_ticking())

    async def stop(self) -> None:
        """Give no more orders."""
        self.is_stopping = True
        if self.ticking is not None:
            self.ticking.cancel()
        self._drop()
        await self.sender.close()

    def leads(self) -> bool:
        """Tell whether nobody else can have become the leader."""
        return not self.is_stopping and self.group.can_serve()

    def find_scheduler(self) -> Scheduler | None:
        """Find the scheduler while this process leads."""
        return self.scheduler if self.leads() else None

    async def commit(
        self,
        records: Sequence[Record],
    ) -> Result[None, Failure]:
        """Commit records; they are applied when it returns."""
        payload = self.machine.codec.write(records)
        role = self.group.find_leading_role()
        if role.is_error():
            return Error(role.error)
        term = self.group.node.voter.state.term
        outcome = await self.group.propose_once(payload, term=term)
        return outcome.map(lambda _: None)

    def note_applied(self, record: Record) -> None:
        """Have the scheduler go on, also if the proposer has given up."""
        scheduler = self.scheduler
        if scheduler is None or not self._goes_on(scheduler):
            # The record may be of the next leader, who settles its own.
            return
        scheduler.note_record(record, self.get_moment())
        self._gather()
        if not self.has_applied:
            self.has_applied = True
            get_running_loop().call_soon(self._carry_out_applied)

    async def _keep_ticking(self) -> None:
        while True:
            self._follow_role()
            scheduler = self.find_scheduler()
            if scheduler is not None:
                self._measure_pass(scheduler.tick, scheduler)
                self._carry_out(scheduler)
                self.looks.keep_all(scheduler.sessions.values())
            await sleep(_TICK_SECONDS)

    def _goes_on(self, scheduler: Scheduler) -> bool:
        return is_in_term(self.group, scheduler.fencing_token)

    def _follow_role(self) -> None:
        scheduler = self.scheduler
        if scheduler is not None and not self._goes_on(scheduler):
            self._drop()
        if self.scheduler is None and self.leads():
            self._take_over(self.group.node.voter.state.term)

    def _take_over(self, term: int) -> None:
        now = self.get_moment()
        self.scheduler = Scheduler(self.state, term, self.terms)
        self.state.jobs.listener = self
        self.scheduler.start(now, self.get_held())

    def _drop(self) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            return
        self.scheduler = None
        self.state.jobs.listener = None
        for task in self.tasks:
            task.cancel()
        self.looks.drop()
        self.committer.drop()
        scheduler.stop()

    def _gather(self) -> None:
        if not self.is_gathering:
            self.is_gathering = True
            get_running_loop().call_later(_GATHER_SECONDS, self._place)

    def _place(self) -> None:
        self.is_gathering = False
        scheduler = self.find_scheduler()
        if scheduler is not None:
            self._measure_pass(scheduler.place, scheduler)
            self._carry_out(scheduler)

    def _measure_pass(
        self,
        decide: Callable[[Moment], None],
        scheduler: Scheduler,
    ) -> None:
        moment = self.get_moment()
        self.placement_log.measure(lambda: decide(moment), scheduler.effort)

    def _carry_out_applied(self) -> None:
        self.has_applied = False
        if self.scheduler is not None:
            self._carry_out(self.scheduler)

    def _carry_out(self, scheduler: Scheduler) -> None:
        for effect in scheduler.take_effects():
            match effect:
                case WatchWorker(session):
                    self.looks.keep(session)
                case CommitBatch():
                    self.committer.add(effect, scheduler.fencing_token)
                case SendStart():
                    self._begin(self._send_start(scheduler, effect))
                case SendStop():
                    self._begin(self._send_stop(scheduler, effect))

    def _note_committed(self, batch: CommitBatch) -> None:
        if self.scheduler is not None:
            self.scheduler.note_committed(batch)
        if batch.session is not None:
            self.looks.go_on(batch.session)

    def _has_session(self, session: WorkerSession) -> bool:
        scheduler = self.scheduler
        return scheduler is not None and scheduler.has_session(session)

    def _note_look(
        self,
        session: WorkerSession,
        answer: HoldAnswer,
        began: float,
    ) -> None:
        scheduler = self.scheduler
        if scheduler is not None:
            scheduler.note_hold(session, answer, began, self.get_moment())
            self._carry_out(scheduler)
            self._gather()

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_start(
        self,
        scheduler: Scheduler,
        effect: SendStart,
    ) -> None:
        if not self.leads():
            # The lease may be renewed in this term.
            effect.session.note_unsent(effect.order)
            return
        answer = await self.sender.start(effect.order)
        now = self.get_moment()
        scheduler.note_start(effect.session, effect.order, answer, now)
        if answer.outcome != OrderOutcome.done:
            self._gather()
        self._carry_out(scheduler)

    async def _send_stop(
        self,
        scheduler: Scheduler,
        effect: SendStop,
    ) -> None:
        if not self.leads():
            return
        answer = await self.sender.stop(effect.order)
        now = self.get_moment()
        scheduler.note_stop(effect.session, effect.order, answer, now)
        self._carry_out(scheduler)
