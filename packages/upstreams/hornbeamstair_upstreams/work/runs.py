"""Runs of tasks as tracked by the leader."""

from enum import Enum
from typing import Final

from attrs import define, frozen

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.isolation import Isolation
from hornbeamstair_upstreams.work.messages import RunEnd, TaskNeeds
from hornbeamstair_upstreams.work.proofs import EndProof
from hornbeamstair_upstreams.work.sender import START_ORDER_SECONDS

__all__ = (
    'EndedRun',
    'Run',
    'RunState',
    'UNCONFIRMED_STATES',
    'OrphanedRun',
)


class RunState(Enum):
    """State of a run as known to the leader."""

    # Recorded by a previous leader; the worker was not polled yet.
    inherited = 'inherited'
    # The start is being recorded; no order was sent.
    recorded = 'recorded'
    # The start order was sent and is not answered yet.
    ordered = 'ordered'
    # The start order failed or timed out; it may still be executed.
    unanswered = 'unanswered'
    # Listed by a poll, or confirmed by the answer to the start order.
    running = 'running'
    # The stop was confirmed; the end is not listed yet.
    stopping = 'stopping'


# Any incarnation of the worker may execute the start order. An order with a
# former token is rejected once the worker has seen a higher one.
UNCONFIRMED_STATES: Final = frozenset(
    (RunState.inherited, RunState.ordered, RunState.unanswered),
)


# The worker may have executed the start order, and was not told to stop.
_STARTED_STATES: Final = frozenset(
    (
        RunState.inherited,
        RunState.ordered,
        RunState.unanswered,
        RunState.running,
    ),
)


@define(eq=False)
class Run:
    """Run that uses resources of a worker."""

    task: TaskId
    run: int
    needs: TaskNeeds
    # Identifies the phase and the occurrence of the job.
    phase_id: str
    state: RunState
    started_at: float
    checkpoint: str = ''
    ticket: str = ''
    # Time of the first confirmation, or of the stop. A poll sent later that
    # does not list the run shows that it has ended or is being stopped.
    confirmed_at: float | None = None
    # Time of the first poll that no longer listed the run.
    unlisted_at: float | None = None
    percent: float = 0
    ordered_at: float = 0
    is_stop_requested: bool = False
    # The stop was decided for the host alone, and no order of it was sent yet.
    may_withdraw_stop: bool = False
    # Time of the first order without an answer since the worker last fell
    # silent; None while no order was sent.
    unanswered_since: float | None = None
    # Start orders that are on their way or have no answer, each of which may
    # still be executed.
    open_orders: int = 0
    # The present incarnation is known to have executed a start order.
    is_executed: bool = False
    # Time of the last answer to a start order that may come from an incarnation
    # which is not known yet.
    doubted_at: float | None = None
    # A poll listed the run long enough after its start.
    is_proven: bool = False
    isolation: Isolation = Isolation.none
    # The worker went down under the run, and not as planned.
    has_gone_down: bool = False

    def is_start_late(self, now: float) -> bool:
        """Return whether the start order must not be sent any more."""
        return now - self.started_at > START_ORDER_SECONDS

    def may_have_started(self) -> bool:
        """Return whether the run may have started and was not to stop."""
        return self.state in _STARTED_STATES

    def mark_gone_down(self) -> None:
        """Mark a run that its worker went down under."""
        if self.may_have_started():
            self.has_gone_down = True


@define(eq=False)
class EndedRun:
    """End of a run, to be recorded."""

    run: Run
    end: RunEnd
    checkpoint: str
    proof: EndProof


@frozen
class OrphanedRun:
    """Run that a worker has listed and the leader does not expect there."""

    task: TaskId
    run: int
    # Running, or how it has ended.
    listed_as: str
