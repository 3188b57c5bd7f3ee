"""Start orders that may still be executed."""

from hornbeamstair_upstreams.work.messages import OrderOutcome, StartOrder
from hornbeamstair_upstreams.work.runs import Run

__all__ = ('close_order',)


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
