"""Relay: sends orders of the leader to the workers of its zone."""

from asyncio import Task, create_task
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from hornbeamstair_callers.relay.codec import decode_orders, encode_answers
from hornbeamstair_callers.relay.endpoints.batches import MessageBatches
from hornbeamstair_callers.relay.endpoints.sender import (
    ANSWERS_CHANNEL,
    ORDERS_CHANNEL,
)
from hornbeamstair_callers.relay.messages import (
    RelayedAnswer,
    RelayedOrder,
    RelayFailure,
    WorkerOrder,
)
from hornbeamstair_core.ids import TaskId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.calls.messages import (
    RelayedAnswers,
    RelayedOrders,
)
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_upstreams.work.fencing import get_token_term
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    StartOrder,
)
from hornbeamstair_upstreams.work.sender import WorkerSender

__all__ = ('OrderRelay',)


@define(eq=False)
class OrderRelay:
    """Sends each relayed order once and returns the answer of the worker.

    Workers check the fencing token and the lease of an order. The next
    incarnation of a worker has seen neither, so an order that was delayed on
    its way or by a pause of this process is not sent.
    """

    transport: PeerTransport
    sender: WorkerSender
    metrics: Metrics
    # Text of the open job of a task, from this process's copy of the log.
    find_text: Callable[[TaskId], str | None]
    # Current term of the log; a previous leader may not give orders.
    get_term: Callable[[], int]
    get_time: Callable[[], float]
    tasks: 'set[Task[None]]' = field(factory=set, init=False)
    batches: MessageBatches[RelayedAnswer] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Receive orders of the leader."""
        self.batches = MessageBatches(self._send_batch)
        self.transport.add_receiver(ORDERS_CHANNEL, self._receive)

    def stop(self) -> None:
        """Give up the orders in progress."""
        for task in self.tasks:
            task.cancel()

    def _receive(self, leader: VoterId, message: PeerMessage) -> None:
        if not isinstance(message, RelayedOrders):
            return
        orders = decode_orders(message.payload)
        if orders.is_error():
            self.metrics.count_refusal(orders.error)
            return
        for relayed in orders.ok:
            task = create_task(self._relay(leader, relayed))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _relay(self, leader: VoterId, relayed: RelayedOrder) -> None:
        answer: OrderAnswer | PollAnswer | RelayFailure = RelayFailure.unsent
        if self.get_time() <= relayed.valid_until:
            answer = await self._send(relayed.order, relayed.valid_until)
            if _is_unsent(answer):
                answer = RelayFailure.unsent
        self.batches.add(leader, RelayedAnswer(relayed.number, answer))

    async def _send(
        self,
        order: WorkerOrder,
        valid_until: float,
    ) -> OrderAnswer | PollAnswer | RelayFailure:
        if get_token_term(order.fencing_token) < self.get_term():
            return RelayFailure.unsent
        if isinstance(order, PollOrder):
            return await self.sender.poll(order, valid_until)
        if not isinstance(order, StartOrder):
            return await self.sender.stop(order, valid_until)
        text = self.find_text(order.task)
        if text is None:
            # The record of the job has not arrived here yet, or it has ended.
            return RelayFailure.unsent
        return await self.sender.start(evolve(order, spec=text), valid_until)

    def _send_batch(self, leader: VoterId, answers: list[RelayedAnswer]) -> Any:
        own = self.transport.own
        message = RelayedAnswers(encode_answers(answers))
        self.transport.answer(Envelope(ANSWERS_CHANNEL, own, leader, message))


def _is_unsent(answer: OrderAnswer | PollAnswer | RelayFailure) -> bool:
    if isinstance(answer, RelayFailure):
        return False
    return answer.outcome == OrderOutcome.unsent
