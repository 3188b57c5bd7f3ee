"""Stops that free a host, and are withdrawn while they are not sent.

How many other tasks of a phase are away may have changed by the time at which
a late process sends such a stop; the next pass decides anew.
"""

from typing import TYPE_CHECKING, Final

from hornbeamstair_upstreams.work.messages import OrderOutcome, StopOrder
from hornbeamstair_upstreams.work.runs import Run

if TYPE_CHECKING:
    from hornbeamstair_upstreams.work.session import WorkerSession

_UNEXECUTED_OUTCOMES: Final = frozenset(
    (OrderOutcome.undelivered, OrderOutcome.unsent),
)

__all__ = ('handle_stop_outcome', 'request_drain_stop')


def request_drain_stop(session: 'WorkerSession', run: Run) -> None:
    """Request the stop of a run that has to leave its host."""
    session.request_stop(run)
    run.may_withdraw_stop = True


def handle_stop_outcome(
    session: 'WorkerSession',
    order: StopOrder,
    outcome: OrderOutcome,
) -> None:
    """Withdraw a stop that was not sent; any other may be executed."""
    run = session.runs.get(order.task)
    if run is None or run.run != order.run:
        return
    if run.may_withdraw_stop and outcome in _UNEXECUTED_OUTCOMES:
        run.is_stop_requested = False
        session.stops.pop((order.task, order.run), None)
    run.may_withdraw_stop = False
