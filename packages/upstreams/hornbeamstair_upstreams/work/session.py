"""State that the leader keeps for one worker; performs no I/O."""

from collections.abc import Iterable
from typing import Final

from attrs import define, evolve, field

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.end_numbers import EndCursor
from hornbeamstair_upstreams.work.health import WorkerHealth
from hornbeamstair_upstreams.work.leases import LeaseTerms, WorkerLease
from hornbeamstair_upstreams.work.messages import (
    Announced,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    Room,
    RunEnd,
    StartOrder,
    StopOrder,
    TaskNeeds,
)
from hornbeamstair_upstreams.work.runs import (
    UNCONFIRMED_STATES,
    EndedRun,
    Run,
    RunState,
)
from hornbeamstair_upstreams.work.watcher import SessionObserver

__all__ = ('WorkerSession', 'get_used_resources')

# A worker is responsive for this time after an answer, plus the poll wait.
_RESPONSIVE_SECONDS: Final = 2.2
_START_RETRY_SECONDS: Final = 0.1
_STOP_RETRY_SECONDS: Final = 0.5
# Time from the withdrawal of a worker until it has terminated.
_TERMINATION_SECONDS: Final = 0.5
_LONG_AGO: Final = -1000.0


@define(eq=False)
class WorkerSession:
    """Runs, lease and reachability of a worker."""

    announced: Announced
    fencing_token: int
    terms: LeaseTerms
    lease: WorkerLease
    heard_at: float
    numbers: EndCursor = field(factory=EndCursor)
    runs: dict[TaskId, Run] = field(factory=dict)
    # Time of the last stop order by run; confirmed or ended runs are removed.
    stops: dict[tuple[TaskId, int], float] = field(factory=dict)
    health: WorkerHealth = field(factory=WorkerHealth)
    is_synced: bool = False
    # Send time of the first answered poll of this incarnation.
    synced_at: float = _LONG_AGO
    is_fenced: bool = False
    # The last poll was not answered, and no order has been answered since.
    is_silent: bool = False
    reached_at: float = _LONG_AGO
    gone_at: float | None = None
    # Reserved for maintenance or a move; receives no new work.
    is_reserved: bool = False
    used_resources: Room = field(factory=Room)
    # Number of long-running runs.
    long_running_count: int = 0
    watcher: SessionObserver | None = None

    def may_start(self, now: float) -> bool:
        """Return whether new work may be placed on the worker."""
        if self.announced.is_leaving or self.gone_at is not None:
            return False
        if self.is_reserved or not self.is_synced or self.is_fenced:
            return False
        return self.is_reached(now) and not self.health.is_quarantined(now)

    def is_reached(self, now: float) -> bool:
        """Return whether the worker answered recently."""
        if self.is_silent:
            return False
        return now - self.reached_at < _RESPONSIVE_SECONDS + self.terms.wait

    def get_free(self) -> Room:
        """Return the free resources."""
        return self.announced.room.minus(self.used_resources)

    def count_phase_runs(self, phase_id: str) -> int:
        """Count the runs of one phase on the worker."""
        return sum(1 for run in self.runs.values() if run.group == phase_id)

    # Runs

    def add_run(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.task] = run
        self.used_resources = self.used_resources.plus(
            get_used_resources(run.needs)
        )
        self.long_running_count += run.needs.lasts
        if self.watcher is not None:
            self.watcher.on_changed(self)

    def remove_run(self, task: TaskId) -> Run | None:
        """Remove a run and release its resources."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.used_resources = self.used_resources.minus(
                get_used_resources(run.needs)
            )
            self.long_running_count -= run.needs.lasts
            self.tell_freed()
        return run

    def tell_freed(self) -> None:
        """Notify the observer that free resources may have grown."""
        if self.watcher is not None:
            self.watcher.on_freed(self)

    def update_clock(self, clock: float | None, now: float) -> None:
        """Update the estimate of the worker's clock from an answer."""
        if clock is None:
            return
        self.is_silent = False
        self.lease.update_clock(clock, now)

    # Polls

    def get_hold(self, now: float) -> HoldOrder:
        """Make the next poll; it renews the lease of a responsive worker."""
        is_responsive = self.is_synced and self.is_reached(now)
        return HoldOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            cursor=self.numbers.cursor,
            wait_seconds=self.terms.wait if is_responsive else 0,
            lease_end=self.lease.grant(now) if is_responsive else None,
        )

    def note_recorded(self, incarnation: int, number: int) -> None:
        """Mark a batch of ends of an incarnation as recorded."""
        # Each incarnation numbers its ends from one.
        if incarnation == self.announced.incarnation:
            self.numbers.note_recorded(number)

    def end_incarnation(
        self,
        incarnation: int | None,
        now: float,
    ) -> list[EndedRun]:
        """End the incarnation and return its runs as lost.

        A start order that is unanswered, or was sent by a previous leader,
        may have reached the next incarnation: its run is kept until that
        incarnation has answered.
        """
        self.lease.start_incarnation(now)
        self.numbers = EndCursor()
        self.is_synced = False
        self.health = WorkerHealth()
        self.stops.clear()
        if incarnation is None:
            self.gone_at = now if self.gone_at is None else self.gone_at
            return self.remove_lost(list(self.runs))
        self.announced = evolve(
            self.announced,
            incarnation=incarnation,
            sequence=0,
            is_leaving=False,
        )
        self.lease.lapse_at = now + self.terms.longest
        ended = self.remove_lost(
            [
                task
                for task, run in self.runs.items()
                if run.state not in UNCONFIRMED_STATES
            ],
        )
        for run in self.runs.values():
            if run.is_stop_wanted:
                self.want_stop(run)
        return ended

    def expire(self, now: float) -> list[EndedRun]:
        """Remove runs of a terminated worker or an expired lease, as lost."""
        if (
            self.gone_at is not None
            and self.gone_at + _TERMINATION_SECONDS < now
        ):
            if now - self.reached_at > _TERMINATION_SECONDS:
                return self.remove_lost(list(self.runs))
        if now < self.lease.lapse_at:
            return []
        return self.remove_lost(
            [
                task
                for task, run in self.runs.items()
                if run.state != RunState.recorded
            ],
        )

    # Announcements

    def is_older(self, announced: Announced) -> bool:
        """Return whether an announcement is older than the last one."""
        current = self.announced
        return (announced.incarnation, announced.sequence) < (
            current.incarnation,
            current.sequence,
        )

    def note_announced(
        self,
        announced: Announced,
        now: float,
    ) -> list[EndedRun]:
        """Apply an announcement; return the lost runs of an old incarnation."""
        ended: list[EndedRun] = []
        if announced.incarnation > self.announced.incarnation:
            ended = self.end_incarnation(announced.incarnation, now)
            self.gone_at = None
        self.announced = announced
        self.heard_at = now
        if self.watcher is not None:
            self.watcher.on_changed(self)
        return ended

    # Starts and stops

    def make_start(self, run: Run, spec: str, now: float) -> StartOrder | None:
        """Make a start order; None while no lease can be granted."""
        lease_end = self.lease.grant_with_start(now)
        if lease_end is None:
            return None
        run.state = RunState.ordered
        run.ordered_at = now
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

    def note_start(
        self,
        order: StartOrder,
        answer: OrderAnswer,
        now: float,
    ) -> list[EndedRun]:
        """Apply the answer to a start order."""
        run = self.runs.get(order.task)
        if self.is_older_incarnation(answer.incarnation):
            # The outcome in the current incarnation is unknown.
            answer = OrderAnswer(OrderOutcome.unknown)
        if answer.outcome == OrderOutcome.other_life:
            return self.end_incarnation(None, now)
        ended: list[EndedRun] = []
        if self.is_newer_incarnation(answer.incarnation):
            ended = self.end_incarnation(answer.incarnation, now)
        if run is None or run.run != order.run:
            return ended
        self.update_clock(answer.clock, now)
        match answer.outcome:
            case OrderOutcome.done | OrderOutcome.old:
                # For an old number, the next poll lists the end of the run.
                self.settle(run, RunState.running, now)
            case OrderOutcome.unknown:
                self.health.handle_unanswered(now)
                run.may_start_late = True
                if run.state == RunState.ordered:
                    run.state = RunState.unanswered
            case OrderOutcome.fenced:
                self.is_fenced = True
                run.state = RunState.unanswered
            case OrderOutcome.late:
                run.state = RunState.unanswered
            case OrderOutcome.refused | OrderOutcome.invalid:
                ended.extend(self._apply_refusal(run, now))
        return ended

    def note_unsent(self, order: StartOrder) -> None:
        """Mark a start order that was not sent as due again."""
        run = self.runs.get(order.task)
        if run is None or run.run != order.run:
            return
        if run.state == RunState.ordered:
            run.state = RunState.unanswered

    def get_unanswered(self, now: float) -> list[Run]:
        """Return the runs whose start order is due to be sent again."""
        if not self.is_synced or not self.is_reached(now) or self.is_fenced:
            return []
        return [
            run
            for run in self.runs.values()
            if run.state == RunState.unanswered
            and now - run.ordered_at > _START_RETRY_SECONDS
        ]

    def want_stop(self, run: Run) -> None:
        """Request the stop of a tracked run."""
        run.is_stop_wanted = True
        self.queue_stop(run.task, run.run)

    def queue_stop(self, task: TaskId, run: int) -> None:
        """Request the stop of a run, whether or not it is tracked."""
        self.stops.setdefault((task, run), _LONG_AGO)
        if self.watcher is not None:
            self.watcher.on_stop_requested(self)

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

    def note_stop(
        self,
        order: StopOrder,
        answer: OrderAnswer,
        now: float,
    ) -> list[EndedRun]:
        """Apply the answer to a stop order."""
        if self.is_older_incarnation(answer.incarnation):
            return []
        if answer.outcome == OrderOutcome.other_life:
            return self.end_incarnation(None, now)
        if answer.outcome == OrderOutcome.fenced:
            self.is_fenced = True
        if answer.outcome == OrderOutcome.done:
            self.stops.pop((order.task, order.run), None)
            run = self.runs.get(order.task)
            if run is not None and run.run == order.run:
                self.settle(run, RunState.stopping, now)
        return []

    def settle(self, run: Run, state: RunState, now: float) -> None:
        """Confirm a run: polls sent from now on list it while it runs."""
        if run.state != RunState.stopping:
            run.state = state
        if run.settled_at is None or state == RunState.stopping:
            run.settled_at = now

    def is_newer_incarnation(self, incarnation: int | None) -> bool:
        """Return whether an answer comes from a newer incarnation."""
        current = self.announced.incarnation
        return incarnation is not None and incarnation > current

    def is_older_incarnation(self, incarnation: int | None) -> bool:
        """Return whether an answer comes from an older incarnation."""
        current = self.announced.incarnation
        return incarnation is not None and incarnation < current

    def remove_lost(self, tasks: Iterable[TaskId]) -> list[EndedRun]:
        """Remove runs and return them as lost."""
        lost = [self.remove_run(task) for task in tasks]
        return [
            EndedRun(run, RunEnd.lost, run.checkpoint)
            for run in lost
            if run is not None
        ]

    def _apply_refusal(self, run: Run, now: float) -> list[EndedRun]:
        self.health.handle_refusal(now)
        if run.may_start_late:
            # After the stop, the worker rejects the earlier start order.
            self.want_stop(run)
            return []
        return self.remove_lost([run.task])

    def _make_stop(self, task: TaskId, run: int) -> StopOrder:
        return StopOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            task=task,
            run=run,
        )


def get_used_resources(needs: TaskNeeds) -> Room:
    """Return the resources that a run takes from those of the worker."""
    if needs.fills:
        return Room(0, needs.room.memory, needs.room.accelerators)
    return needs.room
