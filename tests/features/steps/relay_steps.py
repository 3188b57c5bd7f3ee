"""Steps with a leader, a relay and workers in two zones."""

from asyncio import sleep
from collections import Counter
from random import Random
from time import monotonic
from typing import Any, ClassVar

from attrs import define, evolve, field
from behave import given, then, when

from hornbeamstair_callers.relay.choice import RelayChoice
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
from hornbeamstair_replicas.membership.relays import RelayClock, RelayDirectory
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_upstreams.work.fencing import FencingTokens
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
from hornbeamstair_upstreams.work.sender import (
    ORDER_VALID_SECONDS,
    WorkerSender,
)

LEADER = VoterId('leader/1')
RELAY = VoterId('relay/1')
TEXT = 'the text of the job'
TERM = 3
TOKEN = FencingTokens(TERM).issue()
START = StartOrder(
    WorkerId('w'), '127.0.0.1', 80, TOKEN, TaskId('j.0.0.1'), 1, TEXT, 9
)
POLL = PollOrder(WorkerId('w'), '127.0.0.1', 80, TOKEN, 0, 0, 9.5)
STOP = StopOrder(WorkerId('w'), '127.0.0.1', 80, TOKEN, TaskId('j.0.0.1'), 1)


@define(eq=False)
class PairedTransport(LocalTransport):
    """Transport that delivers to the transport of one other process."""

    name: ClassVar[str] = 'paired'

    other: 'PairedTransport | None' = None
    is_silent: bool = False
    is_frozen: bool = False
    sent_count: int = 0
    # Messages that arrived while this process was frozen.
    held: list[Envelope] = field(factory=list)

    def send(self, envelope: Envelope) -> None:
        """Deliver at once, unless this process is silent."""
        assert self.other is not None
        self.sent_count += 1
        if self.other.is_frozen:
            self.other.held.append(envelope)
        elif not self.is_silent:
            self.other.deliver(envelope)


@define(eq=False)
class RecordingSender(WorkerSender):
    """Sender whose workers answer at once."""

    name: ClassVar[str] = 'recording'

    outcome: OrderOutcome = OrderOutcome.done
    # Time after which the workers answer.
    seconds: float = 0
    sent: list[Any] = field(factory=list)
    limits: list[float] = field(factory=list)

    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """Record a poll."""
        return PollAnswer(await self._record(order, valid_until))

    async def start(
        self,
        order: StartOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Record a start."""
        return OrderAnswer(await self._record(order, valid_until))

    async def stop(
        self,
        order: StopOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Record a stop."""
        return OrderAnswer(await self._record(order, valid_until))

    async def close(self) -> None:
        """Close nothing."""

    async def _record(self, order: Any, valid_until: float) -> OrderOutcome:
        self.sent.append(order)
        self.limits.append(valid_until)
        await sleep(self.seconds)
        return self.outcome


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
    context.term = TERM + 1


@given('the relay cannot reach its workers')
def cut_workers(context: Any) -> None:
    """Have the orders of the relay time out."""
    context.relay_sender.outcome = OrderOutcome.unknown


@given('the relay finds after {seconds:g} seconds that its order has expired')
def delay_orders(context: Any, seconds: float) -> None:
    """Have the orders of the relay wait until they are not sent."""
    context.relay_sender.seconds = seconds
    context.relay_sender.outcome = OrderOutcome.unsent


@given('the relay falls silent {seconds:g} seconds after it got an order')
def silence_later(context: Any, seconds: float) -> None:
    """Have the relay answer neither orders nor heartbeats after a while."""
    context.relay_transport.is_silent = True
    context.silent_at = monotonic() + seconds


@given('the relay is frozen')
def freeze(context: Any) -> None:
    """Have the relay read nothing for now."""
    context.relay_transport.is_frozen = True


@given(
    'the leader is paused for {seconds:g} seconds after it has asked the relay'
)
def pause_leader(context: Any, seconds: float) -> None:
    """Have the time of the leader jump while a relayed order is on its way."""
    context.leader_pause = seconds


@when('the relay goes on after {seconds:g} seconds')
def wake(context: Any, seconds: float) -> None:
    """Deliver what the relay has not read."""
    context.relay_clock_offset += seconds
    context.world.run(_deliver_held(context.relay_transport))


@when('the leader starts a run on a worker in zone "{zone}"')
def start_run(context: Any, zone: str) -> None:
    """Send a start."""
    context.zone = ZoneName(zone)
    _send(context, context.sender.start(START, _get_end_of_validity()))


@when('the leader polls a worker in zone "{zone}"')
def poll(context: Any, zone: str) -> None:
    """Send a poll."""
    context.zone = ZoneName(zone)
    _send(context, context.sender.poll(POLL, _get_end_of_validity()))


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


@then('the relay has to send the order within {seconds:g} seconds on its clock')
def check_limit(context: Any, seconds: float) -> None:
    """Check the time after which the relay must not send the order."""
    assert len(context.relay_sender.limits) == 1
    remaining = context.relay_sender.limits[0] - context.relay.get_time()
    assert seconds - context.elapsed - 0.1 < remaining <= seconds, remaining


@then('the outcome is "{outcome}" after at most {seconds:g} seconds')
def check_prompt_outcome(context: Any, outcome: str, seconds: float) -> None:
    """Check the outcome and the time that it took."""
    check_outcome(context, outcome)
    assert context.elapsed <= seconds, context.elapsed


@given('a relay that reported at {reported:g} and answered at {answered:g}')
def make_directory(context: Any, reported: float, answered: float) -> None:
    """Make a directory with one report."""
    context.directory = RelayDirectory()
    clock = RelayClock(0, 500 - reported)
    context.directory.handle_report(RELAY, ZoneName('b'), clock, reported)
    context.answered_at = answered


@given(
    'a relay with a report at {first:g} and one delayed by {seconds:g} seconds'
)
def make_delayed_report(context: Any, first: float, seconds: float) -> None:
    """Make a directory with two reports of one clock."""
    context.directory = RelayDirectory()
    for delay in (0, seconds):
        received = first + delay
        clock = RelayClock(0, 500 - received)
        context.directory.handle_report(RELAY, ZoneName('b'), clock, received)


@when('the relay restarts and reports the time {clock:g} at {now:g}')
def restart_relay(context: Any, clock: float, now: float) -> None:
    """Handle a report of the next process, whose clock begins anew."""
    reported = RelayClock(clock - 1, clock - now)
    context.directory.handle_report(RELAY, ZoneName('b'), reported, now)


@then('its clock shows at least {clock:g} at {now:g}')
def check_clock(context: Any, clock: float, now: float) -> None:
    """Check the lowest reading."""
    assert context.directory.get_lowest_reading(RELAY, now) == clock


@then('it is a relay at {now:g}')
def check_is_relay(context: Any, now: float) -> None:
    """Check that orders go through it."""
    assert _get_responsive(context, now) == {ZoneName('b'): (RELAY,)}


@then('it is no relay at {now:g}')
def check_is_no_relay(context: Any, now: float) -> None:
    """Check that no orders go through it."""
    assert not _get_responsive(context, now)


@given('a site with {count:d} workers and {relays:d} relays in their zone')
def choose_local_relays(context: Any, count: int, relays: int) -> None:
    """Choose a relay for the poll of each worker."""
    _choose_relays(context, count, relays, ZoneName('b'))


@given('a site with {count:d} workers and {relays:d} relays in another zone')
def choose_other_relays(context: Any, count: int, relays: int) -> None:
    """Choose a relay for the poll of each worker of a zone without relays."""
    _choose_relays(context, count, relays, ZoneName('c'))


@then('each relay is chosen for {least:d} to {most:d} workers')
def check_shares(context: Any, least: int, most: int) -> None:
    """Check the numbers of workers of the relays."""
    shares = Counter(filter(None, context.chosen.values()))
    assert len(shares) == 2, shares
    assert all(least <= share <= most for share in shares.values()), shares


@then('the same relay is chosen for a worker each time')
def check_stable_choice(context: Any) -> None:
    """Choose the relays once more."""
    for worker, relay in context.chosen.items():
        again = context.choice.choose(worker, ZoneName('b'), 1)
        assert again == relay, worker


@then('the leader sends the polls to {count:d} workers itself')
def check_direct_polls(context: Any, count: int) -> None:
    """Check the number of workers without a relay."""
    direct = [relay for relay in context.chosen.values() if relay is None]
    assert len(direct) == count, len(direct)


@then('{count:d} random orders and answers survive the codec')
def check_codec(context: Any, count: int) -> None:
    """Encode and decode random messages."""
    rng = Random(1)
    orders = [
        RelayedOrder(
            rng.randrange(10**15),
            rng.choice((POLL, START, STOP)),
            rng.random(),
        )
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
        [[1, 2.5, 'start']],
        [[1, 2.5, 'poll', 2]],
        [[1, 2.5, 'other', 'w', 'a', 1, 1]],
        [[1, 'stop', 'w', 'a', 1, 1, 'j.0.0.1', 1]],
        [[1, 'order', 'nonsense', None, None]],
        {'a': 1},
    ):
        payload = encode_cbor(odd)
        assert decode_orders(payload).is_error(), odd
        assert decode_answers(payload).is_error(), odd


def _choose_relays(
    context: Any, count: int, relays: int, zone: ZoneName
) -> None:
    context.choice = RelayChoice()
    names = tuple(VoterId(f'relay-{number}/1') for number in range(relays))
    context.choice.update({ZoneName('b'): names}, count, 0)
    context.chosen = {}
    for number in range(count):
        worker = WorkerId(f'w{number}')
        direct = sum(relay is None for relay in context.chosen.values())
        chosen = context.choice.choose(worker, zone, 0, direct)
        context.chosen[worker] = chosen


def _make(context: Any, zone: str, text: str | None) -> None:
    leader_transport = PairedTransport(LEADER)
    relay_transport = PairedTransport(RELAY, other=leader_transport)
    leader_transport.other = relay_transport
    context.leader_transport = leader_transport
    context.relay_transport = relay_transport
    context.relay_sender = RecordingSender()
    context.direct = RecordingSender()
    context.worker_count = 300
    context.term = TERM
    context.silent_at = float('inf')
    # The relay's clock differs from that of the leader.
    context.relay_clock_offset = 1000
    context.leader_pause = 0
    directory = RelayDirectory()
    directory.handle_report(
        RELAY, ZoneName(zone), RelayClock(0, 1000), monotonic()
    )
    context.relay = OrderRelay(
        relay_transport,
        context.relay_sender,
        Metrics(),
        lambda _: text,
        lambda: context.term,
        lambda: monotonic() + context.relay_clock_offset,
    )
    context.sender = RelayingSender(
        context.direct,
        leader_transport,
        Metrics(),
        lambda: _get_leader_time(context),
        lambda _: context.zone,
        lambda: context.worker_count,
        lambda: {} if _is_silent(context) else {ZoneName(zone): (RELAY,)},
        directory.get_lowest_reading,
    )


def _get_leader_time(context: Any) -> float:
    has_asked = context.leader_transport.sent_count > 0
    return monotonic() + has_asked * context.leader_pause


def _get_end_of_validity() -> float:
    return monotonic() + ORDER_VALID_SECONDS


async def _deliver_held(transport: PairedTransport) -> None:
    transport.is_frozen = False
    for envelope in transport.held:
        transport.deliver(envelope)
    await sleep(0.05)


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
