"""Orders and answers on their way between the leader and a relay."""

from enum import Enum

from attrs import frozen

from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)

__all__ = ('RelayFailure', 'RelayedAnswer', 'RelayedOrder', 'WorkerOrder')

WorkerOrder = PollOrder | StartOrder | StopOrder


class RelayFailure(Enum):
    """Reason why a relay gives no answer of the worker."""

    # The order was not sent and never will be.
    unsent = 'unsent'
    # The relay fell silent: the order may have been sent, or may still be.
    lost = 'lost'


@frozen
class RelayedOrder:
    """Order with the number that its answer repeats.

    A start is relayed without the text of its job, which the relay takes
    from its own copy of the replicated log.
    """

    number: int
    order: WorkerOrder
    # Time on the clock of the relay after which the order must not be sent.
    valid_until: float


@frozen
class RelayedAnswer:
    """Answer to a relayed order."""

    number: int
    answer: OrderAnswer | PollAnswer | RelayFailure
