"""Sender of the leader's orders through other processes."""

from asyncio import Future, get_running_loop
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, ClassVar, Final, TypeVar

from attrs import define, field, frozen

from hornbeamstair_callers.relay.choice import RelayChoice
from hornbeamstair_callers.relay.codec import decode_answers, encode_orders
from hornbeamstair_callers.relay.endpoints.batches import MessageBatches
from hornbeamstair_callers.relay.events import RelaysChangedEvent
from hornbeamstair_callers.relay.messages import (
    RelayedOrder,
    RelayFailure,
    WorkerOrder,
)
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import WorkerId, ZoneName
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.call_numbers import CallNumbers
from hornbeamstair_replicas.calls.messages import (
    RelayedAnswers,
    RelayedOrders,
)
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_upstreams.work.messages import (
    UNANSWERED_OUTCOMES,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)
from hornbeamstair_upstreams.work.sender import WorkerSender

__all__ = ('ANSWERS_CHANNEL', 'ORDERS_CHANNEL', 'RelayingSender')

ORDERS_CHANNEL: Final = 'orders'
ANSWERS_CHANNEL: Final = 'order_answers'
# A relay gives up an order after about one second.
_ORDER_SECONDS: Final = 1.4
_CHECK_SECONDS: Final = 0.05

RelayOutcome = OrderAnswer | PollAnswer | RelayFailure
RelayMap = Mapping[ZoneName, Sequence[VoterId]]
Order = TypeVar('Order', StartOrder, StopOrder)


@frozen
class _Pending:
    """Order whose answer is awaited from a relay."""

    relay: VoterId
    answer: 'Future[RelayOutcome]'


@define(eq=False)
class RelayingSender(WorkerSender):
    """Sender that has a process in the zone of a worker send its orders.

    An order is sent directly if it has no relay, or if its relay has not sent
    it and it is still valid.
    """

    name: ClassVar[str] = 'relaying'

    direct: WorkerSender
    transport: PeerTransport
    metrics: Metrics
    get_time: Callable[[], float]
    find_zone: Callable[[WorkerId], ZoneName | None]
    get_worker_count: Callable[[], int]
    # Relays that answer this leader, by zone.
    get_relays: Callable[[], RelayMap]
    # Time that the clock of a relay has reached by a time of the own clock.
    get_relay_time: Callable[[VoterId, float], float]
    choice: RelayChoice = field(factory=RelayChoice, init=False)
    # Polls that this process sends itself and that are not answered yet.
    direct_polls: int = field(default=0, init=False)
    checked_at: float = field(default=0, init=False)
    is_check_scheduled: bool = field(default=False, init=False)
    pending: dict[int, _Pending] = field(factory=dict, init=False)
    batches: MessageBatches[RelayedOrder] = field(init=False)
    numbers: CallNumbers = field(factory=CallNumbers, init=False)

    def __attrs_post_init__(self) -> None:
        """Receive the answers of the relays."""
        self.batches = MessageBatches(self._send_batch)
        self.transport.add_receiver(ANSWERS_CHANNEL, self._receive)

    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """Poll a worker; a poll can be repeated if its relay falls silent."""
        seconds = _ORDER_SECONDS + order.wait_seconds
        answer = await self._relay(order, seconds, valid_until)
        if isinstance(answer, PollAnswer):
            return answer
        if self.get_time() > valid_until:
            return PollAnswer(OrderOutcome.unsent)
        self.direct_polls += 1
        try:
            return await self.direct.poll(order, valid_until)
        finally:
            self.direct_polls -= 1

    async def start(
        self,
        order: StartOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Start a run."""
        return await self._send_once(order, valid_until, self.direct.start)

    async def stop(
        self,
        order: StopOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Stop a run."""
        return await self._send_once(order, valid_until, self.direct.stop)

    async def close(self) -> None:
        """Close the connections."""
        await self.direct.close()

    async def _send_once(
        self,
        order: Order,
        valid_until: float,
        send: Callable[[Order, float], Coroutine[Any, Any, OrderAnswer]],
    ) -> OrderAnswer:
        answer = await self._relay(order, _ORDER_SECONDS, valid_until)
        if isinstance(answer, OrderAnswer):
            return answer
        is_valid = self.get_time() <= valid_until
        if answer == RelayFailure.unsent and is_valid:
            return await send(order, valid_until)
        return OrderAnswer(OrderOutcome.unknown)

    async def _relay(
        self,
        order: WorkerOrder,
        seconds: float,
        valid_until: float,
    ) -> RelayOutcome:
        now = self.get_time()
        self._update_relays(now)
        zone = self.find_zone(order.worker)
        relay = self.choice.choose(order.worker, zone, now, self.direct_polls)
        if relay is None:
            return RelayFailure.unsent
        outcome = await self._ask(relay, order, seconds, valid_until)
        now = self.get_time()
        is_expired = outcome == RelayFailure.unsent and now > valid_until
        if is_expired or _is_unanswered(outcome):
            self.metrics.count_retry('relayed_order')
            self.choice.avoid(order.worker, now)
        return outcome

    async def _ask(
        self,
        relay: VoterId,
        order: WorkerOrder,
        seconds: float,
        valid_until: float,
    ) -> RelayOutcome:
        loop = get_running_loop()
        number = self.numbers.take()
        answer: Future[RelayOutcome] = loop.create_future()
        self.pending[number] = _Pending(relay, answer)
        relay_limit = self.get_relay_time(relay, valid_until)
        self.batches.add(relay, RelayedOrder(number, order, relay_limit))
        self._schedule_check()
        timer = loop.call_later(seconds, _set_lost, answer)
        try:
            return await answer
        finally:
            timer.cancel()
            self.pending.pop(number)

    def _update_relays(self, now: float) -> None:
        if now - self.checked_at < _CHECK_SECONDS:
            return
        self.checked_at = now
        relays = self.get_relays()
        is_changed = relays != self.choice.relays
        self.choice.update(relays, self.get_worker_count(), now)
        if is_changed:
            log_event(RelaysChangedEvent(relays, len(self.pending)))
            self._give_up_silent()

    def _schedule_check(self) -> None:
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            loop = get_running_loop()
            loop.call_later(_CHECK_SECONDS, self._check_relays)

    def _check_relays(self) -> None:
        self.is_check_scheduled = False
        self._update_relays(self.get_time())
        if self.pending:
            self._schedule_check()

    def _give_up_silent(self) -> None:
        """Give up the orders of relays that fell silent."""
        for pending in list(self.pending.values()):
            if not self.choice.is_relay(pending.relay):
                _set_lost(pending.answer)

    def _send_batch(self, relay: VoterId, orders: list[RelayedOrder]) -> None:
        own = self.transport.own
        message = RelayedOrders(encode_orders(orders))
        self.transport.send(Envelope(ORDERS_CHANNEL, own, relay, message))

    def _receive(self, sender: VoterId, message: PeerMessage) -> None:
        if not isinstance(message, RelayedAnswers):
            return
        answers = decode_answers(message.payload)
        if answers.is_error():
            self.metrics.count_refusal(answers.error)
            return
        for relayed in answers.ok:
            pending = self.pending.get(relayed.number)
            if pending is not None and not pending.answer.done():
                pending.answer.set_result(relayed.answer)


def _set_lost(answer: 'Future[RelayOutcome]') -> None:
    if not answer.done():
        answer.set_result(RelayFailure.lost)


def _is_unanswered(outcome: RelayOutcome) -> bool:
    if isinstance(outcome, RelayFailure):
        return outcome == RelayFailure.lost
    return outcome.outcome in UNANSWERED_OUTCOMES
