"""Dealings of the holder with one worker, without any I/O."""

from collections.abc import Iterable
from typing import Final

from attrs import define, evolve, field

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.end_numbers import EndNumbers
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
    UNSURE_STATES,
    EndedRun,
    Run,
    RunState,
)
from hornbeamstair_upstreams.work.watcher import SessionWatcher

__all__ = ('WorkerSession', 'get_taken_room')

# A worker that answered within this time may get new work.
_REACHED_SECONDS: Final = 2.2
_RETRY_SECONDS: Final = 0.1
_STOP_RETRY_SECONDS: Final = 0.5
# Time between the word of a leaving worker and its end.
_GONE_SECONDS: Final = 0.5
_NEVER: Final = -1000.0


@define(eq=False)
class WorkerSession:
    """Runs, lease and reachability of one life of a worker."""

    announced: Announced
    fencing_token: int
    terms: LeaseTerms
    lease: WorkerLease
    heard_at: float
    numbers: EndNumbers = field(factory=EndNumbers)
    runs: dict[TaskId, Run] = field(factory=dict)
    # Orders to stop that are due; answered ones are taken out.
    stops: dict[tuple[TaskId, int], float] = field(factory=dict)
    health: WorkerHealth = field(factory=WorkerHealth)
    is_synced: bool = False
    # Time of the first look that was answered.
    synced_at: float = _NEVER
    is_fenced: bool = False
    # The last look had no answer, and no order since then.
    is_silent: bool = False
    reached_at: float = _NEVER
    gone_at: float | None = None
    # Kept free of new work for maintenance or a move.
    is_reserved: bool = False
    used: Room = field(factory=Room)
    # Runs that last until their jobs are cancelled.
    lasting: int = 0
    watcher: SessionWatcher | None = None

    def may_start(self, now: float) -> bool:
        """Tell whether new work may be placed on the worker."""
        if self.announced.is_leaving or self.gone_at is not None:
            return False
        if self.is_reserved or not self.is_synced or self.is_fenced:
            return False
        return self.is_reached(now) and not self.health.is_quarantined(now)

    def is_reached(self, now: float) -> bool:
        """Tell whether the worker answered a short time ago."""
        if self.is_silent:
            return False
        return now - self.reached_at < _REACHED_SECONDS + self.terms.wait

    def get_free(self) -> Room:
        """Get the room that is not taken."""
        return self.announced.room.minus(self.used)

    def count_group(self, group: str) -> int:
        """Count the runs of one phase on the worker."""
        return sum(1 for run in self.runs.values() if run.group == group)

    # Runs

    def add_run(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.task] = run
        self.used = self.used.plus(get_taken_room(run.needs))
        self.lasting += run.needs.lasts
        if self.watcher is not None:
            self.watcher.note_changed(self)

    def remove_run(self, task: TaskId) -> Run | None:
        """Give the room of a run back."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.used = self.used.minus(get_taken_room(run.needs))
            self.lasting -= run.needs.lasts
            self.tell_freed()
        return run

    def tell_freed(self) -> None:
        """Tell that the worker may have room for more than before."""
        if self.watcher is not None:
            self.watcher.note_freed(self)

    def note_clock(self, clock: float | None, now: float) -> None:
        """Note what the worker's clock showed in an answer."""
        if clock is None:
            return
        self.is_silent = False
        self.lease.note_clock(clock, now)

    # Looks

    def get_hold(self, now: float) -> HoldOrder:
        """Get the next look; only a reached worker gets a longer lease."""
        is_reached = self.is_synced and self.is_reached(now)
        return HoldOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            cursor=self.numbers.cursor,
            wait_seconds=self.terms.wait if is_reached else 0,
            lease_end=self.lease.give(now) if is_reached else None,
        )

    def note_recorded(self, incarnation: int, number: int) -> None:
        """Note that a batch with ends of a life is recorded."""
        # Each life counts its ends from one.
        if incarnation == self.announced.incarnation:
            self.numbers.note_recorded(number)

    def end_life(
        self,
        incarnation: int | None,
        now: float,
    ) -> list[EndedRun]:
        """Count the runs of a life that ended as lost.

        An order to start that has no answer, or is of an earlier holder, may
        have reached the next life of the worker: its run stays until that
        life has answered.
        """
        self.lease.begin_life(now)
        self.numbers = EndNumbers()
        self.is_synced = False
        self.health = WorkerHealth()
        self.stops.clear()
        if incarnation is None:
            self.gone_at = now if self.gone_at is None else self.gone_at
            return self.lose(list(self.runs))
        self.announced = evolve(
            self.announced,
            incarnation=incarnation,
            sequence=0,
            is_leaving=False,
        )
        self.lease.lapse_at = now + self.terms.longest
        ended = self.lose(
            [
                task
                for task, run in self.runs.items()
                if run.state not in UNSURE_STATES
            ],
        )
        for run in self.runs.values():
            if run.is_stop_wanted:
                self.want_stop(run)
        return ended

    def expire(self, now: float) -> list[EndedRun]:
        """Count runs as lost whose lease has surely lapsed."""
        if self.gone_at is not None and self.gone_at + _GONE_SECONDS < now:
            if now - self.reached_at > _GONE_SECONDS:
                return self.lose(list(self.runs))
        if now < self.lease.lapse_at:
            return []
        return self.lose(
            [
                task
                for task, run in self.runs.items()
                if run.state != RunState.recorded
            ],
        )

    # Announcements

    def is_older(self, announced: Announced) -> bool:
        """Tell whether an announcement is older than the last one."""
        known = self.announced
        return (announced.incarnation, announced.sequence) < (
            known.incarnation,
            known.sequence,
        )

    def note_announced(
        self,
        announced: Announced,
        now: float,
    ) -> list[EndedRun]:
        """Take a newer announcement; return the ends of a former life."""
        ended: list[EndedRun] = []
        if announced.incarnation > self.announced.incarnation:
            ended = self.end_life(announced.incarnation, now)
            self.gone_at = None
        self.announced = announced
        self.heard_at = now
        if self.watcher is not None:
            self.watcher.note_changed(self)
        return ended

    # Starts and stops

    def make_start(self, run: Run, spec: str, now: float) -> StartOrder | None:
        """Make the order to start a run; None if it must wait."""
        lease_end = self.lease.give_with_start(now)
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
        """Take the answer to an order to start."""
        run = self.runs.get(order.task)
        if self.is_former_life(answer.incarnation):
            # What became of the order in this life is not known.
            answer = OrderAnswer(OrderOutcome.unknown)
        if answer.outcome == OrderOutcome.other_life:
            return self.end_life(None, now)
        ended: list[EndedRun] = []
        if self.is_new_life(answer.incarnation):
            ended = self.end_life(answer.incarnation, now)
        if run is None or run.run != order.run:
            return ended
        self.note_clock(answer.clock, now)
        match answer.outcome:
            case OrderOutcome.done | OrderOutcome.old:
                # An old number ended there: the next look lists its end.
                self.settle(run, RunState.running, now)
            case OrderOutcome.unknown:
                self.health.note_silent(now)
                run.may_come_late = True
                if run.state == RunState.ordered:
                    run.state = RunState.unanswered
            case OrderOutcome.fenced:
                self.is_fenced = True
                run.state = RunState.unanswered
            case OrderOutcome.late:
                run.state = RunState.unanswered
            case OrderOutcome.refused | OrderOutcome.invalid:
                ended.extend(self._take_refusal(run, now))
        return ended

    def note_unsent(self, order: StartOrder) -> None:
        """Note that an order to start was not sent; it is due again."""
        run = self.runs.get(order.task)
        if run is None or run.run != order.run:
            return
        if run.state == RunState.ordered:
            run.state = RunState.unanswered

    def get_unanswered(self, now: float) -> list[Run]:
        """Get the runs whose start is due to be ordered again."""
        if not self.is_synced or not self.is_reached(now) or self.is_fenced:
            return []
        return [
            run
            for run in self.runs.values()
            if run.state == RunState.unanswered
            and now - run.ordered_at > _RETRY_SECONDS
        ]

    def want_stop(self, run: Run) -> None:
        """Have a run stopped."""
        run.is_stop_wanted = True
        self.want_stray_stop(run.task, run.run)

    def want_stray_stop(self, task: TaskId, run: int) -> None:
        """Have a run stopped that takes no room here."""
        self.stops.setdefault((task, run), _NEVER)
        if self.watcher is not None:
            self.watcher.note_stop_wanted(self)

    def get_stops(self, now: float) -> list[StopOrder]:
        """Get the orders to stop that are due."""
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
        """Take the answer to an order to stop."""
        if self.is_former_life(answer.incarnation):
            return []
        if answer.outcome == OrderOutcome.other_life:
            return self.end_life(None, now)
        if answer.outcome == OrderOutcome.fenced:
            self.is_fenced = True
        if answer.outcome == OrderOutcome.done:
            self.stops.pop((order.task, order.run), None)
            run = self.runs.get(order.task)
            if run is not None and run.run == order.run:
                self.settle(run, RunState.stopping, now)
        return []

    def settle(self, run: Run, state: RunState, now: float) -> None:
        """Note that later looks list a run as long as it goes on."""
        if run.state != RunState.stopping:
            run.state = state
        if run.settled_at is None or state == RunState.stopping:
            run.settled_at = now

    def is_new_life(self, incarnation: int | None) -> bool:
        """Tell whether an answer is of a later life of the worker."""
        known = self.announced.incarnation
        return incarnation is not None and incarnation > known

    def is_former_life(self, incarnation: int | None) -> bool:
        """Tell whether an answer is of an earlier life of the worker."""
        known = self.announced.incarnation
        return incarnation is not None and incarnation < known

    def lose(self, tasks: Iterable[TaskId]) -> list[EndedRun]:
        """Count runs as lost."""
        lost = [self.remove_run(task) for task in tasks]
        return [
            EndedRun(run, RunEnd.lost, run.checkpoint)
            for run in lost
            if run is not None
        ]

    def _take_refusal(self, run: Run, now: float) -> list[EndedRun]:
        self.health.note_refused(now)
        if run.may_come_late:
            # An earlier order starts nothing any more once it is stopped.
            self.want_stop(run)
            return []
        return self.lose([run.task])

    def _make_stop(self, task: TaskId, run: int) -> StopOrder:
        return StopOrder(
            worker=self.announced.worker,
            address=self.announced.address,
            port=self.announced.port,
            fencing_token=self.fencing_token,
            task=task,
            run=run,
        )


def get_taken_room(needs: TaskNeeds) -> Room:
    """Get the room that a run takes from what others may use."""
    if needs.fills:
        return Room(0, needs.room.memory, needs.room.accelerators)
    return needs.room
