"""Start orders of runs, and which incarnation may execute them.

The answer to a start order need not name the incarnation that gave it, and an
order without an answer may be executed seconds later, by whichever incarnation
the worker has by then. What ends a run on a worker that lists neither it nor
its end:

=====================  ====================  ==================================
orders of the run      next incarnation      silent worker
=====================  ====================  ==================================
executed by the known  ends it               the lease expires
one
without an answer      its polls miss it     no order can be late any more, and
                                             the longest lease after that is
                                             over
answered by either     its polls miss it     the same
=====================  ====================  ==================================
"""

from collections.abc import Iterable
from typing import Final

from hornbeamstair_upstreams.work.clocks import WorkerClock
from hornbeamstair_upstreams.work.leases import WorkerLease
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    StartOrder,
)
from hornbeamstair_upstreams.work.runs import UNCONFIRMED_STATES, Run
from hornbeamstair_upstreams.work.sender import LATE_ORDER_SECONDS

__all__ = (
    'carry_over',
    'get_latest_arrival',
    'close_order',
    'get_run_expiry',
    'is_attributable',
    'is_doubted',
    'is_over',
    'note_listed',
)

# Send time of a poll where there was none.
_NEVER: Final = float('-inf')


def close_order(
    run: Run | None,
    order: StartOrder,
    outcome: OrderOutcome,
) -> None:
    """Count a start order that has an answer, or was not sent, as closed."""
    if run is None or run.run != order.run:
        return
    if outcome != OrderOutcome.unknown:
        run.open_orders = max(run.open_orders - 1, 0)
    if outcome in (OrderOutcome.done, OrderOutcome.old):
        run.is_executed = True


def note_listed(run: Run) -> None:
    """Close the only order of a run that a poll has listed."""
    if not run.is_executed and run.open_orders == 1:
        run.open_orders = 0
    run.is_executed = True


def is_attributable(
    answer: OrderAnswer,
    clock: WorkerClock | None,
    now: float,
) -> bool:
    """Return whether an answer comes from the incarnation that is known."""
    if answer.incarnation is not None:
        return True
    if answer.clock is None or clock is None:
        return False
    return clock.may_show(answer.clock, now)


def is_doubted(run: Run, polled_at: float) -> bool:
    """Return whether a later incarnation may have started a run.

    A poll that was sent later and that the known incarnation has answered
    settles it.
    """
    return run.doubted_at is not None and run.doubted_at >= polled_at


def is_over(run: Run, polled_at: float, now: float) -> bool:
    """Return whether a run ends with the incarnation of its worker."""
    if run.state in UNCONFIRMED_STATES or is_doubted(run, polled_at):
        return False
    return not run.open_orders or now > run.ordered_at + LATE_ORDER_SECONDS


def get_latest_arrival(run: Run, polled_at: float) -> float | None:
    """Get the time until which another incarnation may get a start of a run."""
    if run.open_orders or is_doubted(run, polled_at):
        return run.ordered_at + LATE_ORDER_SECONDS
    return None


def carry_over(runs: Iterable[Run]) -> None:
    """Keep runs for the next incarnation, which may have started them."""
    for run in runs:
        run.is_executed = False
        run.unlisted_at = None


def get_run_expiry(
    run: Run,
    lease: WorkerLease,
    polled_at: float = _NEVER,
) -> float:
    """Get the time by which a run has ended on a worker that is silent.

    The leases of the known incarnation expire by a given time. Another one that
    executes a late order holds the run for the longest lease from the arrival
    of the last late order.
    """
    expiry = lease.latest_expiry
    latest_arrival = max(lease.sent_at, run.ordered_at) + LATE_ORDER_SECONDS
    is_open = (
        run.open_orders and run.ordered_at + LATE_ORDER_SECONDS > polled_at
    )
    if is_open or is_doubted(run, polled_at):
        return max(expiry, latest_arrival + lease.terms.expiry_delay)
    return expiry
