"""Steps with a leader, a relay and workers in two zones."""

from asyncio import sleep
from random import Random
from time import monotonic
from typing import Any, ClassVar

from attrs import define, evolve, field
from behave import given, then, when

from hornbeamstair_callers.relay.codec import (
    decode_answers,
    decode_orders,
    encode_answers,
    encode_orders,
)
from hornbeamstair_callers.relay.endpoints.relay import OrderRelay
from hornbeamstair_callers.relay.endpoints.sender import RelayingSender
from hornbeamstair_callers.relay.messages import (
    RelayedAnswer,
    RelayedOrder,
    RelayFailure,
)
from hornbeamstair_core.codec import encode_cbor
from hornbeamstair_core.ids import TaskId, WorkerId, ZoneName
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.membership.relays import RelayDirectory
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
)
from hornbeamstair_upstreams.work.sender import WorkerSender

LEADER = VoterId('leader/1')
RELAY = VoterId('relay/1')
TEXT = 'the text of the job'
START = StartOrder(
    WorkerId('w'), '127.0.0.1', 80, 3, TaskId('j.0.0.1'), 1, TEXT, 9
)
POLL = PollOrder(WorkerId('w'), '127.0.0.1', 80, 3, 0, 0, 9.5)
STOP = StopOrder(WorkerId('w'), '127.0.0.1', 80, 3, TaskId('j.0.0.1'), 1)


@define(eq=False)
class PairedTransport(LocalTransport):
    """Transport that delivers to the transport of one other process."""

    name: ClassVar[str] = 'paired'

    other: 'PairedTransport | None' = None
    is_silent: bool = False

    def send(self, envelope: Envelope) -> None:
        """Deliver at once, unless this process is silent."""
        assert self.other is not None
        if not self.is_silent:
            self.other.deliver(envelope)


@define(eq=False)
class RecordingSender(WorkerSender):
    """Sender whose workers answer at once."""

    name: ClassVar[str] = 'recording'

    outcome: OrderOutcome = OrderOutcome.done
    sent: list[Any] = field(factory=list)

    async def poll(self, order: PollOrder) -> PollAnswer:
        """Record a poll."""
        self.sent.append(order)
        return PollAnswer(self.outcome)

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Record a start."""
        self.sent.append(order)
        return OrderAnswer(self.outcome)

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Record a stop."""
        self.sent.append(order)
        return OrderAnswer(self.outcome)

    async def close(self) -> None:
        """Close nothing."""


@given('a leader in zone "{own}" and a relay in zone "{zone}" that has the job')
def make_relay(context: Any, own: str, zone: str) -> None:
    """Connect a leader and a relay."""
    _make(context, zone, TEXT)


@given('a leader in zone "{own}" and a relay in zone "{zone}" without the job')
def make_lagging_relay(context: Any, own: str, zone: str) -> None:
    """Connect a leader and a relay whose log lacks the job."""
    _make(context, zone, None)


@given('the site has {count:d} workers')
def set_workers(context: Any, count: int) -> None:
    """Set the number of workers."""
    context.worker_count = count


@given('the relay falls silent after it got an order')
def silence(context: Any) -> None:
    """Have the relay answer neither orders nor heartbeats."""
    context.relay_transport.is_silent = True
    context.silent_at = monotonic() + 0.05


@given('the relay knows a newer term')
def advance_term(context: Any) -> None:
    """Have another leader been elected."""
    context.term = START.fencing_token + 1


@given('the relay cannot reach its workers')
def cut_workers(context: Any) -> None:
    """Have the orders of the relay time out."""
    context.relay_sender.outcome = OrderOutcome.unknown


@when('the leader starts a run on a worker in zone "{zone}"')
def start_run(context: Any, zone: str) -> None:
    """Send a start."""
    context.zone = ZoneName(zone)
    _send(context, context.sender.start(START))


@when('the leader polls a worker in zone "{zone}"')
def poll(context: Any, zone: str) -> None:
    """Send a poll."""
    context.zone = ZoneName(zone)
    _send(context, context.sender.poll(POLL))


@then('the relay has sent {count:d} start with the text of the job')
def check_relayed(context: Any, count: int) -> None:
    """Check the starts of the relay."""
    assert context.relay_sender.sent == [START] * count


@then('the relay has sent {count:d} starts')
def check_unsent(context: Any, count: int) -> None:
    """Check the number of orders of the relay."""
    assert len(context.relay_sender.sent) == count


@then('the leader has sent {count:d} orders itself')
def check_direct(context: Any, count: int) -> None:
    """Check the number of orders of the leader."""
    assert len(context.direct.sent) == count, context.direct.sent


@then('the outcome is "{outcome}"')
def check_outcome(context: Any, outcome: str) -> None:
    """Check the outcome of the last order."""
    assert context.answer.outcome == OrderOutcome(outcome), context.answer


@then('the outcome is "{outcome}" after at most {seconds:g} seconds')
def check_prompt_outcome(context: Any, outcome: str, seconds: float) -> None:
    """Check the outcome and the time that it took."""
    check_outcome(context, outcome)
    assert context.elapsed <= seconds, context.elapsed


@given('a relay that reported at {reported:g} and answered at {answered:g}')
def make_directory(context: Any, reported: float, answered: float) -> None:
    """Make a directory with one report."""
    context.directory = RelayDirectory()
    context.directory.handle_report(RELAY, ZoneName('b'), reported)
    context.answered_at = answered


@then('it is a relay at {now:g}')
def check_is_relay(context: Any, now: float) -> None:
    """Check that orders go through it."""
    assert _get_responsive(context, now) == {ZoneName('b'): RELAY}


@then('it is no relay at {now:g}')
def check_is_no_relay(context: Any, now: float) -> None:
    """Check that no orders go through it."""
    assert not _get_responsive(context, now)


@then('{count:d} random orders and answers survive the codec')
def check_codec(context: Any, count: int) -> None:
    """Encode and decode random messages."""
    rng = Random(1)
    orders = [
        RelayedOrder(rng.randrange(10**15), rng.choice((POLL, START, STOP)))
        for _ in range(count)
    ]
    bare = evolve(START, spec='')
    expected = [
        evolve(relayed, order=bare) if relayed.order is START else relayed
        for relayed in orders
    ]
    assert decode_orders(encode_orders(orders)).ok == expected
    answers = [
        RelayedAnswer(number, _make_answer(rng)) for number in range(count)
    ]
    assert decode_answers(encode_answers(answers)).ok == answers


@then('odd batches are refused')
def check_odd_batches(context: Any) -> None:
    """Decode batches that cannot be read."""
    for odd in (
        7,
        [7],
        [[1]],
        [[1, 'start']],
        [[1, 'poll', 2]],
        [[1, 'other', 'w', 'a', 1, 1]],
        [[1, 'order', 'nonsense', None, None]],
        {'a': 1},
    ):
        payload = encode_cbor(odd)
        assert decode_orders(payload).is_error(), odd
        assert decode_answers(payload).is_error(), odd


def _make(context: Any, zone: str, text: str | None) -> None:
    leader_transport = PairedTransport(LEADER)
    relay_transport = PairedTransport(RELAY, other=leader_transport)
    leader_transport.other = relay_transport
    context.relay_transport = relay_transport
    context.relay_sender = RecordingSender()
    context.direct = RecordingSender()
    context.worker_count = 300
    context.term = START.fencing_token
    context.silent_at = float('inf')
    context.relay = OrderRelay(
        relay_transport,
        context.relay_sender,
        Metrics(),
        lambda _: text,
        lambda: context.term,
    )
    context.sender = RelayingSender(
        context.direct,
        leader_transport,
        Metrics(),
        monotonic,
        lambda _: context.zone,
        lambda: context.worker_count,
        lambda: {} if _is_silent(context) else {ZoneName(zone): RELAY},
    )


def _is_silent(context: Any) -> bool:
    return monotonic() > context.silent_at


def _send(context: Any, order: Any) -> None:
    started_at = monotonic()
    context.answer = context.world.run(_finish(order))
    context.elapsed = monotonic() - started_at


async def _finish(order: Any) -> Any:
    answer = await order
    await sleep(0.01)
    return answer


def _get_responsive(context: Any, now: float) -> Any:
    ages = {RELAY: now - context.answered_at}
    return context.directory.get_responsive(ages, now)


def _make_answer(rng: Random) -> Any:
    kind = rng.randrange(3)
    if kind == 0:
        return rng.choice(list(RelayFailure))
    outcome = rng.choice(list(OrderOutcome))
    if kind == 1:
        return OrderAnswer(outcome, rng.random(), rng.randrange(10**13))
    return PollAnswer(
        outcome,
        None,
        None,
        (RunReport(TaskId('j.0.0.1'), 1, 'c', 40, rng.random()),),
        (EndReport(5, TaskId('j.0.0.2'), 2, rng.choice(list(RunEnd)), ''),),
    )
