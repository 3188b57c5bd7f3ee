"""State that the leader keeps for one worker; performs no I/O."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

from attrs import Factory, define, evolve, field

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.acknowledgements import Acknowledgements
from hornbeamstair_upstreams.work.drain_stops import handle_stop_outcome
from hornbeamstair_upstreams.work.end_cursor import EndCursor
from hornbeamstair_upstreams.work.fencing import FencingTokens
from hornbeamstair_upstreams.work.health import WorkerHealth
from hornbeamstair_upstreams.work.isolation import IsolatedRuns
from hornbeamstair_upstreams.work.leases import LeaseTerms, WorkerLease
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollOrder,
    Resources,
    RunEnd,
    StartOrder,
    StopOrder,
    TaskNeeds,
    WorkerAnnouncement,
)
from hornbeamstair_upstreams.work.observer import NoObserver, SessionObserver
from hornbeamstair_upstreams.work.obstacles import Obstacle
from hornbeamstair_upstreams.work.proofs import EndProof
from hornbeamstair_upstreams.work.runs import (
    EndedRun,
    OrphanedRun,
    Run,
    RunState,
)
from hornbeamstair_upstreams.work.start_orders import (
    carry_over,
    close_order,
    get_run_expiry,
    is_attributable,
    is_doubted,
    is_over,
)

__all__ = ('WorkerSession', 'get_used_resources')

# A worker is responsive for this time after an answer, plus the poll wait.
_RESPONSIVE_SECONDS: Final = 2.2
# Isolated runs keep other work off their worker until a poll lists them.
_ISOLATED_WAIT_SECONDS: Final = 0.25
# A worker that crashes again and again is up for less time than this.
_NEW_SECONDS: Final = 5.0
_START_RETRY_SECONDS: Final = 0.1
# Longer than the timeouts of all senders, after which an order has an outcome
# unless its sender failed.
_OUTCOME_SECONDS: Final = 5.0
# Time in which a worker has to confirm a start: tasks are placed elsewhere
# after several attempts, before users notice that they wait.
_START_SECONDS: Final = 3.0
_STOP_RETRY_SECONDS: Final = 0.5
# A worker that withdraws may answer polls for this time.
_TERMINATION_SECONDS: Final = 0.5
# Interval of the checks of a worker without a lease.
_EXPIRED_CHECK_SECONDS: Final = 0.5
_LONG_AGO: Final = -1000.0
# Time after which a start order is due again, by the state of its run.
_RETRY_SECONDS: Final = MappingProxyType(
    {
        RunState.ordered: _OUTCOME_SECONDS,
        RunState.unanswered: _START_RETRY_SECONDS,
    },
)


@define(eq=False)
class WorkerSession:
    """Runs, lease and reachability of a worker."""

    announced: WorkerAnnouncement
    tokens: FencingTokens
    terms: LeaseTerms
    lease: WorkerLease
    announced_at: float
    # Time from which the incarnation has been known.
    joined_at: float = field(
        default=Factory(lambda session: session.announced_at, takes_self=True),
    )
    # Lowest token of the orders to the incarnation.
    incarnation_token: int = field(
        default=Factory(
            lambda session: session.tokens.issue(),
            takes_self=True,
        ),
    )
    # Token of the next order.
    fencing_token: int = field(
        default=Factory(
            lambda session: session.incarnation_token,
            takes_self=True,
        ),
    )
    last_poll: PollOrder | None = None
    # The last poll has no answer: the worker may have restarted since.
    has_missed_poll: bool = False
    # The incarnation has announced itself; one that was learned from an answer
    # may have other labels and resources than the one before.
    has_announced: bool = True
    # Orders to a former incarnation may still be on their way.
    is_returning: bool = True
    end_cursor: EndCursor = field(factory=EndCursor)
    acknowledgements: Acknowledgements = field(factory=Acknowledgements)
    runs: dict[TaskId, Run] = field(factory=dict)
    # Time of the last stop order by run; confirmed or ended runs are removed.
    stops: dict[tuple[TaskId, int], float] = field(factory=dict)
    health: WorkerHealth = field(factory=WorkerHealth)
    is_synced: bool = False
    # Send times of the first and the last answered poll of this incarnation.
    synced_at: float = _LONG_AGO
    polled_at: float = _LONG_AGO
    is_fenced: bool = False
    # The last poll was not answered, and no order has been answered since.
    is_unresponsive: bool = False
    answered_at: float = _LONG_AGO
    # Time at which runs were last lost, since the lease had expired.
    expired_at: float = _LONG_AGO
    terminated_at: float | None = None
    # Another worker was found at the address, and nothing was planned.
    is_replaced: bool = False
    _is_reserved: bool = False
    used_resources: Resources = field(factory=Resources)
    # Number of long-running runs.
    long_running_count: int = 0
    isolated_runs: IsolatedRuns = field(factory=IsolatedRuns)
    # Time of the last poll that listed an orphaned run as running.
    occupied_at: float = _LONG_AGO
    # Listed since the last call of `drain_orphaned`.
    orphaned_runs: list[OrphanedRun] = field(factory=list)
    observer: SessionObserver = field(factory=NoObserver)

    @property
    def is_reserved(self) -> bool:
        """Whether a move or maintenance needs the host; no new work starts."""
        return self._is_reserved

    @is_reserved.setter
    def is_reserved(self, is_reserved: bool) -> None:
        """Reserve or release the worker."""
        self._is_reserved = is_reserved
        self.observer.on_changed(self)

    def detach(self) -> None:
        """Notify no index any more."""
        self.observer = NoObserver()

    def may_start(self, now: float) -> bool:
        """Return whether new work may be placed on the worker."""
        return self.find_obstacle(now) is None

    def find_obstacle(self, now: float) -> Obstacle | None:
        """Find the reason why no new work may be placed on the worker."""
        if self.is_ending():
            return Obstacle.ending
        if not self.has_announced:
            return Obstacle.unannounced
        if self.is_reserved:
            return Obstacle.reserved
        if self.is_fenced:
            return Obstacle.fenced
        if not self.is_synced or not self.is_responsive(now):
            return Obstacle.unresponsive
        if self.is_occupied(now):
            return Obstacle.occupied
        if self.health.is_quarantined(now):
            return Obstacle.quarantined
        return None

    def is_occupied(self, now: float) -> bool:
        """Return whether an orphaned run may use resources of the worker."""
        return now - self.occupied_at < self.terms.stopping

    def is_ending(self) -> bool:
        """Return whether the worker leaves or has withdrawn."""
        return self.announced.is_leaving or self.terminated_at is not None

    def has_planned_end(self) -> bool:
        """Return whether the worker ends, or has ended, as planned."""
        return self.is_ending() and not self.is_replaced

    def get_address(self) -> str:
        """Return the host and port of the worker."""
        return f'{self.announced.address}:{self.announced.port}'

    def is_responsive(self, now: float) -> bool:
        """Return whether the worker answered recently."""
        if self.is_unresponsive:
            return False
        return now - self.answered_at < _RESPONSIVE_SECONDS + self.terms.wait

    def is_new(self, now: float) -> bool:
        """Return whether the incarnation has not been known for long."""
        return now - self.joined_at < _NEW_SECONDS

    def get_free_resources(self) -> Resources:
        """Return the free resources."""
        return self.announced.room.minus(self.used_resources)

    def has_label(self, needs: TaskNeeds) -> bool:
        """Return whether the worker has the label that a task requires."""
        return not needs.label or needs.label in self.announced.labels

    def is_overcommitted(self) -> bool:
        """Return whether the runs take more than the worker has now."""
        free = self.get_free_resources()
        return min(free.cpu, free.memory, free.accelerators) < 0

    def count_phase_runs(self, phase_id: str) -> int:
        """Count the runs of one phase on the worker."""
        return sum(1 for run in self.runs.values() if run.phase_id == phase_id)

    def serves_requests(self) -> bool:
        """Return whether a run with a limit on its response time is here."""
        return any(run.needs.target_seconds for run in self.runs.values())

    # Runs

    def add_run(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.task] = run
        self.used_resources = self.used_resources.plus(
            get_used_resources(run.needs)
        )
        self.long_running_count += run.needs.lasts
        self.isolated_runs.add(run)
        self.observer.on_run_added(self, run)

    def remove_run(self, task: TaskId) -> Run | None:
        """Remove a run and release its resources."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.used_resources = self.used_resources.minus(
                get_used_resources(run.needs)
            )
            self.long_running_count -= run.needs.lasts
            self.isolated_runs.discard(task)
            self.acknowledgements.handle_removed(run, self.polled_at)
            self.observer.on_run_removed(self, run)
        return run

    def prove_run(self, run: Run) -> None:
        """Mark that the worker goes on well after the start of a run."""
        run.is_proven = True
        if run.isolation:
            self.isolated_runs.discard(run.task)
            self.notify_freed()

    def notify_freed(self) -> None:
        """Notify the observer that free resources may have grown."""
        self.observer.on_freed(self)

    def update_clock(self, clock: float | None, now: float) -> None:
        """Update the estimate of the worker's clock from an answer."""
        if clock is None:
            return
        self.is_unresponsive = False
        self.lease.update_clock(clock, now)

    def drain_orphaned(self) -> list[OrphanedRun]:
        """Return and clear the orphaned runs that polls have listed."""
        orphaned = self.orphaned_runs
        self.orphaned_runs = []
        return orphaned

    # Polls

    def make_poll(self, now: float) -> PollOrder:
        """Make the next poll; it renews the lease of a responsive worker.

        A poll that may be the first one of another incarnation carries neither
        a lease end nor a cursor, which would be those of the former one.
        """
        self._supersede_acknowledgement()
        is_first = self.has_missed_poll or not self.is_synced
        cursor = 0 if is_first else self._get_cursor(now)
        is_renewal = not is_first and self.is_responsive(now)
        wait = self.terms.wait
        if self.isolated_runs.levels:
            wait = min(wait, _ISOLATED_WAIT_SECONDS)
        self.last_poll = PollOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            cursor=cursor,
            wait_seconds=wait if is_renewal else 0,
            lease_end=self.lease.grant(now) if is_renewal else None,
        )
        self.acknowledgements.is_open = cursor > 0
        return self.last_poll

    def is_poll_due(self, now: float) -> bool:
        """Return whether the next poll may be sent."""
        if not self.end_cursor.is_recorded():
            return False
        if not self.end_cursor.get_unacknowledged() or self._get_cursor(now):
            return True
        return self.acknowledgements.is_poll_due(self.polled_at, now)

    def is_present(self, fencing_token: int) -> bool:
        """Return whether an order was meant for the present incarnation."""
        return fencing_token >= self.incarnation_token

    def synchronize(self, sent_at: float, now: float) -> None:
        """Handle the first answered poll of the incarnation.

        The worker has seen the token, and rejects all orders with an older one.
        Those to a former incarnation that came before may have prolonged its
        lease.
        """
        self.is_synced = True
        self.synced_at = sent_at
        if self.is_returning:
            self.lease.latest_expiry = now + self.terms.expiry_delay

    def handle_fenced(self, fencing_token: int) -> None:
        """Handle that the worker has rejected the token of an order."""
        # A token that a later order has superseded is rejected as intended.
        if fencing_token == self.fencing_token:
            self.is_fenced = True

    def handle_recorded(self, incarnation: int, number: int) -> None:
        """Mark a batch of ends of an incarnation as recorded."""
        # Each incarnation numbers its ends from one.
        if incarnation == self.announced.incarnation:
            self.end_cursor.handle_recorded(number)

    def end_incarnation(
        self,
        incarnation: int | None,
        now: float,
        answered: Run | None = None,
    ) -> list[EndedRun]:
        """End the incarnation and return its runs as lost.

        A start order may have reached the next incarnation: its run is kept
        until that incarnation has answered a poll, and stopped if the order may
        have crashed the previous one. A run whose start the next one has
        answered has not.
        """
        polled_at = self.polled_at
        self._mark_gone_down(answered)
        self.incarnation_token = self.tokens.issue()
        self.fencing_token = self.incarnation_token
        self.acknowledgements.is_open = False
        self.joined_at = now
        self.has_announced = False
        self.is_returning = True
        self.lease.start_incarnation(now)
        self.end_cursor = EndCursor()
        self.is_synced = False
        self.is_fenced = False
        self.polled_at = _LONG_AGO
        self.health = WorkerHealth()
        self.stops.clear()
        if incarnation is None:
            self.is_replaced = not self._is_end_expected()
            self.terminate(now)
            return self.remove_lost(list(self.runs), EndProof.other_worker)
        self.is_replaced = False
        self.announced = evolve(
            self.announced,
            incarnation=incarnation,
            sequence=0,
            is_leaving=False,
        )
        self.lease.latest_expiry = now + self.terms.expiry_delay
        ended = self.remove_lost(
            [
                task
                for task, run in self.runs.items()
                if is_over(run, polled_at, now)
            ],
            EndProof.next_incarnation,
        )
        carry_over(self.runs.values())
        for run in self.runs.values():
            is_suspect = run.has_gone_down and not run.is_proven
            if run.is_stop_requested or is_suspect:
                self.request_stop(run)
        return ended

    def handle_other_life(
        self,
        sent_at: float | None,
        now: float,
    ) -> list[EndedRun]:
        """End the incarnation, since another worker has its address.

        An answer to a message from before the incarnation was known, or of
        unknown age, may be about the address of a previous one.
        """
        if sent_at is None or sent_at < self.joined_at:
            return []
        return self.end_incarnation(None, now)

    def expire(self, now: float) -> list[EndedRun]:
        """Remove the runs of a worker whose lease has expired, as lost.

        A notice of termination proves nothing about the runs, since it may be
        one of a previous incarnation that arrives late.
        """
        if now < self.lease.latest_expiry:
            return []
        lost = [
            task
            for task, run in self.runs.items()
            if run.state != RunState.recorded and now >= self._get_expiry(run)
        ]
        if lost:
            self.expired_at = now
        return self.remove_lost(lost, EndProof.lease_expired)

    def terminate(self, now: float) -> None:
        """Mark the worker as terminating, unless it is already."""
        if self.terminated_at is None:
            self.terminated_at = now
        self._request_check()

    def handle_sign_of_life(self, sent_at: float) -> None:
        """Take back a termination that a later poll contradicts.

        The notice of a previous incarnation may arrive late.
        """
        terminated_at = self.terminated_at
        if terminated_at is None:
            return
        if terminated_at + _TERMINATION_SECONDS < sent_at:
            self.terminated_at = None
            self.is_replaced = False

    def get_check_time(self, now: float) -> float:
        """Return when the lease can have expired or a retry is due."""
        is_pending = any(
            run.state == RunState.unanswered for run in self.runs.values()
        )
        if is_pending:
            return now
        if self.lease.latest_expiry > now:
            return self.lease.latest_expiry
        return now + _EXPIRED_CHECK_SECONDS

    # Announcements

    def is_older(self, announced: WorkerAnnouncement) -> bool:
        """Return whether an announcement is older than the last one."""
        current = self.announced
        return (announced.incarnation, announced.sequence) < (
            current.incarnation,
            current.sequence,
        )

    def is_contradicted_by(self, announced: WorkerAnnouncement) -> bool:
        """Return whether an announcement contradicts the incarnation.

        An incarnation that was learned from an answer has announced nothing
        yet; its sequence number is 0.
        """
        current = self.announced
        if announced.incarnation != current.incarnation or not current.sequence:
            return False
        return (announced.service, announced.address, announced.port) != (
            current.service,
            current.address,
            current.port,
        )

    def handle_announcement(
        self,
        announced: WorkerAnnouncement,
        now: float,
    ) -> list[EndedRun]:
        """Apply an announcement; return the lost runs of an old incarnation."""
        ended: list[EndedRun] = []
        if announced.incarnation > self.announced.incarnation:
            ended = self.end_incarnation(announced.incarnation, now)
            self.terminated_at = None
        self.announced = announced
        self.has_announced = True
        self.announced_at = now
        self.observer.on_changed(self)
        return ended

    # Starts and stops

    def make_start(self, run: Run, spec: str, now: float) -> StartOrder | None:
        """Make a start order; None while no lease can be granted."""
        lease_end = self.lease.grant_with_start(now)
        if lease_end is None:
            return None
        self._supersede_acknowledgement()
        run.state = RunState.ordered
        run.ordered_at = now
        run.open_orders += 1
        return StartOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            task=run.task,
            run=run.run,
            spec=spec,
            lease_end=lease_end,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
        )

    def handle_start_answer(
        self,
        order: StartOrder,
        answer: OrderAnswer,
        now: float,
    ) -> list[EndedRun]:
        """Apply the answer to a start order."""
        run = self.runs.get(order.task)
        close_order(run, order, answer.outcome)
        if self._is_answer_former(order, answer):
            # The outcome in the present incarnation is unknown.
            answer = OrderAnswer(OrderOutcome.unknown)
        if answer.outcome == OrderOutcome.other_life:
            return self.handle_other_life(self._find_order_time(order), now)
        ended: list[EndedRun] = []
        if self.is_newer_incarnation(answer.incarnation):
            ended = self.end_incarnation(answer.incarnation, now, run)
        if run is None or run.run != order.run:
            return ended
        self._attribute_answer(run, answer, now)
        match answer.outcome:
            case OrderOutcome.done | OrderOutcome.old:
                # For an old number, the next poll lists the end of the run.
                self.confirm(run, RunState.running, now)
                self.health.handle_start()
            case OrderOutcome.unknown | OrderOutcome.undelivered:
                self._handle_unanswered(run, now)
            case OrderOutcome.unsent:
                self._handle_unconfirmed(run, now)
            case OrderOutcome.fenced:
                self.handle_fenced(order.fencing_token)
                self._set_unanswered(run)
            case OrderOutcome.late:
                self._set_unanswered(run)
            case OrderOutcome.refused | OrderOutcome.invalid:
                ended.extend(self._apply_refusal(run, now))
        return ended

    def handle_unsent(self, order: StartOrder) -> None:
        """Mark a start order that was not sent as due again."""
        run = self.runs.get(order.task)
        close_order(run, order, OrderOutcome.unsent)
        if run is None or run.run != order.run:
            return
        if run.state == RunState.ordered:
            self._set_unanswered(run)

    def is_start_overdue(self, run: Run, now: float) -> bool:
        """Return whether the worker ignores the start orders of a run."""
        if run.unanswered_since is None:
            return False
        return now - run.unanswered_since > _START_SECONDS

    def get_unanswered(self, now: float) -> list[Run]:
        """Return the runs whose start order is due to be sent again."""
        if not self.is_synced or not self.is_responsive(now) or self.is_fenced:
            return []
        if not self.has_announced or self.is_occupied(now):
            return []
        return [
            run
            for run in self.runs.values()
            if now - run.ordered_at
            > _RETRY_SECONDS.get(run.state, float('inf'))
        ]

    def abandon_start(self, run: Run, now: float) -> None:
        """Request the stop of a run that the worker does not start.

        After the stop, the worker rejects the start orders sent so far.
        """
        self.health.handle_abandoned(now)
        self.request_stop(run)

    def handle_regained(self) -> None:
        """Give the starts that fell into a silence of the worker new time."""
        for run in self.runs.values():
            run.unanswered_since = None
        self.notify_freed()

    def request_stop(self, run: Run) -> None:
        """Request the stop of a tracked run."""
        run.is_stop_requested = True
        run.may_withdraw_stop = False
        self.queue_stop(run.task, run.run)

    def queue_stop(self, task: TaskId, run: int) -> None:
        """Request the stop of a run, whether or not it is tracked."""
        self.stops.setdefault((task, run), _LONG_AGO)
        self.observer.on_stop_requested(self)

    def get_stops(self, now: float) -> list[StopOrder]:
        """Return the stop orders that are due, and mark them sent."""
        if self.is_fenced:
            return []
        due = [
            key
            for key, sent_at in self.stops.items()
            if now - sent_at > _STOP_RETRY_SECONDS
        ]
        self.stops.update(dict.fromkeys(due, now))
        return [self._make_stop(task, run) for task, run in due]

    def handle_stop_answer(
        self,
        order: StopOrder,
        answer: OrderAnswer,
        now: float,
    ) -> list[EndedRun]:
        """Apply the answer to a stop order."""
        handle_stop_outcome(self, order, answer.outcome)
        if not self.is_present(order.fencing_token):
            # The former incarnation may have answered.
            return []
        if self.is_older_incarnation(answer.incarnation):
            return []
        if answer.outcome == OrderOutcome.other_life:
            sent_at = self.stops.get((order.task, order.run))
            return self.handle_other_life(sent_at, now)
        if answer.outcome == OrderOutcome.fenced:
            self.handle_fenced(order.fencing_token)
            self._repeat_superseded(order)
        if answer.outcome == OrderOutcome.done:
            self.stops.pop((order.task, order.run), None)
            run = self.runs.get(order.task)
            if run is not None and run.run == order.run:
                self.confirm(run, RunState.stopping, now)
        return []

    def confirm(self, run: Run, state: RunState, now: float) -> None:
        """Confirm a run: polls sent from now on list it while it runs."""
        if run.state != RunState.stopping:
            run.state = state
        if run.confirmed_at is None or state == RunState.stopping:
            run.confirmed_at = now

    def is_newer_incarnation(self, incarnation: int | None) -> bool:
        """Return whether an answer comes from a newer incarnation."""
        current = self.announced.incarnation
        return incarnation is not None and incarnation > current

    def is_older_incarnation(self, incarnation: int | None) -> bool:
        """Return whether an answer comes from an older incarnation."""
        current = self.announced.incarnation
        return incarnation is not None and incarnation < current

    def remove_lost(
        self,
        tasks: Iterable[TaskId],
        proof: EndProof,
    ) -> list[EndedRun]:
        """Remove runs and return them as lost."""
        lost = [self.remove_run(task) for task in tasks]
        return [
            EndedRun(
                run,
                self._get_lost_end(run, proof),
                run.checkpoint,
                proof,
            )
            for run in lost
            if run is not None
        ]

    def _get_cursor(self, now: float) -> int:
        cursor = self.end_cursor.get_unacknowledged()
        if not cursor:
            return 0
        runs = self.runs.values()
        may_send = self.acknowledgements.may_send(runs, self.polled_at, now)
        return cursor if may_send else 0

    def _supersede_acknowledgement(self) -> None:
        """Have the worker reject an acknowledgement that comes later."""
        if self.acknowledgements.is_open:
            self.fencing_token = self.tokens.issue_next(self.fencing_token)
            self.acknowledgements.is_open = False

    def _repeat_superseded(self, order: StopOrder) -> None:
        """Send a stop again that a start with a higher token has overtaken."""
        key = order.task, order.run
        if order.fencing_token != self.fencing_token and key in self.stops:
            self.stops[key] = _LONG_AGO
            self.observer.on_stop_requested(self)

    def _get_expiry(self, run: Run) -> float:
        return get_run_expiry(run, self.lease, self.polled_at)

    def _find_order_time(self, order: StartOrder) -> float | None:
        run = self.runs.get(order.task)
        if run is None or run.run != order.run:
            return None
        return run.ordered_at

    def _mark_gone_down(self, answered: Run | None = None) -> None:
        """Mark the runs that the worker went down under."""
        if not self._is_end_expected():
            for run in self.runs.values():
                if run is not answered and not is_doubted(run, self.polled_at):
                    run.mark_gone_down()

    def _is_end_expected(self) -> bool:
        return self.is_reserved or self.has_planned_end()

    def _get_lost_end(self, run: Run, proof: EndProof) -> RunEnd:
        if run.has_gone_down:
            return RunEnd.crashed
        if is_doubted(run, self.polled_at):
            # The run may have been on an incarnation that is not known.
            return RunEnd.lost
        is_silent = proof == EndProof.lease_expired
        if is_silent and run.may_have_started() and not self._is_end_expected():
            return RunEnd.expired
        return RunEnd.lost

    def _is_answer_former(self, order: StartOrder, answer: OrderAnswer) -> bool:
        """Return whether an answer may come from a former incarnation."""
        if self.is_newer_incarnation(answer.incarnation):
            return False
        if not self.is_present(order.fencing_token):
            return True
        return self.is_older_incarnation(answer.incarnation)

    def _attribute_answer(
        self,
        run: Run,
        answer: OrderAnswer,
        now: float,
    ) -> None:
        if answer.clock is None:
            return
        if is_attributable(answer, self.lease.clock, now):
            self.update_clock(answer.clock, now)
            return
        self.is_unresponsive = False
        run.doubted_at = now

    def _handle_unanswered(self, run: Run, now: float) -> None:
        self.health.handle_unanswered(now)
        self._handle_unconfirmed(run, now)

    def _handle_unconfirmed(self, run: Run, now: float) -> None:
        if run.unanswered_since is None:
            run.unanswered_since = now
        if run.state == RunState.ordered:
            self._set_unanswered(run)

    def _set_unanswered(self, run: Run) -> None:
        run.state = RunState.unanswered
        self._request_check()

    def _request_check(self) -> None:
        self.observer.on_check_due(self)

    def _apply_refusal(self, run: Run, now: float) -> list[EndedRun]:
        self.health.handle_refusal(now)
        if run.is_executed:
            # Another copy of the order has started the run.
            return []
        if run.open_orders:
            # After the stop, the worker rejects the earlier start order.
            self.request_stop(run)
            return []
        return self.remove_lost([run.task], EndProof.refused)

    def _make_stop(self, task: TaskId, run: int) -> StopOrder:
        return StopOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            task=task,
            run=run,
        )


def get_used_resources(needs: TaskNeeds) -> Resources:
    """Return the resources that a run takes from those of the worker."""
    if needs.fills:
        return Resources(0, needs.room.memory, needs.room.accelerators)
    return needs.room
