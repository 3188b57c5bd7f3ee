"""Steps on a demand that comes by turns."""

from collections.abc import Sequence
from functools import partial
from random import Random
from typing import Any

from behave import given, then, when

from hornbeamstair_callers.jobs.arrivals import ArrivalIndex
from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_core.ids import HostId, JobId, PoolName
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.moves.forecasts import DemandForecast, TurnForecast
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_fleet.moves.planner import MovePlanner
from hornbeamstair_fleet.moves.views import PoolView
from tests.support.turn_model import (
    HOST_CPU,
    STANDBY,
    ModelHost,
    list_host,
    make_turn_model,
)
from tests.support.work_model import QUEUE, SERVICE, WorkModel, make_phase

BEGIN = 100
POOLS = 4
# Jobs a second in a turn, outside of it, and without turns.
HIGH = 24.0
LOW = 0.3
STEADY = 6.0
# Jobs a second that need all hosts at their target utilization and more, and
# those of the pool that asks next.
FLOOD = 60.0
NEXT = 40.0
FLOOD_SECONDS = 6
ROUND_SECONDS = 18
TURN = PoolName('turn')
BLOCKED = PoolName('blocked')
CHANCE_SHARE = 0.02
TURNS = (100, 112)
TURN_SECONDS = 4
# Error of the time at which a turn is expected.
MAX_ERROR_SECONDS = 0.5


class RisePlanner(MovePlanner):
    """Planner that expects no turns."""

    @property
    def forecasts(self) -> tuple[DemandForecast, ...]:
        """Get the forecast of the rise only."""
        return (self.rise,)


def _get_rate(
    seconds: float,
    order: Sequence[int],
    number: int,
    now: float,
) -> float:
    turn = int((now - BEGIN) / seconds)
    return HIGH if order[turn % len(order)] == number else LOW


@given('{count:d} pools that ask by turns of {seconds:g} seconds')
def make_turns(context: Any, count: int, seconds: float) -> None:
    """Make pools that ask in the same order again and again."""
    rate = partial(_get_rate, seconds, range(count))
    context.pools = make_turn_model(Random(1), rate)


@given(
    '{count:d} pools that ask by turns of {seconds:g} seconds in random order'
)
def make_random_turns(context: Any, count: int, seconds: float) -> None:
    """Make pools of which a random one asks next."""
    rng = Random(99)
    order = [rng.randrange(count) for _ in range(count * count)]
    rate = partial(_get_rate, seconds, order)
    context.pools = make_turn_model(Random(1), rate)


@given(
    '{count:d} pools that ask by turns of {seconds:g} seconds until the '
    'second round',
)
def make_one_round(context: Any, count: int, seconds: float) -> None:
    """Make pools that ask once each."""
    rate = partial(_get_rate, seconds, range(count * count))
    context.pools = make_turn_model(Random(1), rate)


def _get_flood_rate(number: int, now: float) -> float:
    rates = (FLOOD, LOW) if now < BEGIN + FLOOD_SECONDS else (LOW, NEXT)
    return rates[number] if number < len(rates) else LOW


@given('{count:d} pools of which the first asks for more than all hosts can do')
def make_flood(context: Any, count: int) -> None:
    """Make pools of which the second asks right after the first."""
    context.pools = make_turn_model(Random(1), _get_flood_rate)


@when("the figures of {seconds:d} seconds of the next pool's turn are counted")
def count_next(context: Any, seconds: int) -> None:
    """Play the turn of the second pool."""
    count_figures(context, seconds)


@then('as many jobs end in time as without a forecast of turns')
def check_no_worse(context: Any) -> None:
    """Play the same with the rise alone; the chance of the model is small."""
    share = context.pools.get_share_in_time()
    rate = context.pools.get_rate
    rise_only = make_turn_model(Random(1), rate)
    rise_only.planner = RisePlanner()
    rise_only.run(ROUND_SECONDS)
    rise_only.reset_figures()
    rise_only.run(2 * ROUND_SECONDS)
    assert share >= rise_only.get_share_in_time() - CHANCE_SHARE, share


@then('{percent:d} of 100 jobs of the next pool end in time')
def check_next(context: Any, percent: int) -> None:
    """Check what the callers of the second pool get."""
    pool = context.pools.pools[1]
    share = context.pools.in_time[pool] / context.pools.accepted[pool]
    assert share >= percent / 100, share


@given('a pool that lacks {count:d} hosts and one with a run that fits nowhere')
def make_blocked(context: Any, count: int) -> None:
    """Make demands of a pool in its turn and of one with a blocked run."""
    usable = HOST_CPU * count
    context.demands = {
        TURN: PoolDemand(TURN, False, usable, 0, 0, HOST_CPU, 0),
        BLOCKED: PoolDemand(BLOCKED, False, 0, 0, 0, HOST_CPU, 1),
        STANDBY: PoolDemand(STANDBY, True, 0, 0, 0, HOST_CPU, 0),
    }


@when('one host is idle')
def plan_one_host(context: Any) -> None:
    """Plan with one host."""
    host = list_host(ModelHost(HostId('m'), STANDBY))
    view = PoolView(context.demands, {host.host: host}, {}, {})
    context.plan = MovePlanner().plan(view, BEGIN)


@then('it moves to the pool with the run')
def check_unblocked(context: Any) -> None:
    """Check where the host moves."""
    assert [move.pool for move in context.plan] == [BLOCKED], context.plan


@given('{count:d} pools with a steady demand')
def make_steady(context: Any, count: int) -> None:
    """Make pools with the same demand at all times."""
    context.pools = make_turn_model(Random(1), lambda number, now: STEADY)


@when('{seconds:d} seconds have passed')
def play_pools(context: Any, seconds: int) -> None:
    """Play some time."""
    context.pools.run(seconds)


@when('the figures of {seconds:d} more seconds are counted')
def count_figures(context: Any, seconds: int) -> None:
    """Play some time and count the jobs of it only."""
    context.pools.reset_figures()
    context.pools.run(seconds)


@then('{percent:d} of 100 jobs end in time')
def check_in_time(context: Any, percent: int) -> None:
    """Check what the callers get."""
    share = context.pools.get_share_in_time()
    assert share >= percent / 100, share


@then('no turn is expected')
def check_no_turn(context: Any) -> None:
    """Check that the demand is not taken for turns."""
    assert not context.pools.planner.turns.expected


@then('hosts of no pool wait for a turn')
def check_not_waiting(context: Any) -> None:
    """Check that no capacity is required for a turn."""
    turns = context.pools.planner.turns
    assert not any(map(turns.get_required, context.pools.pools)), turns


@given('jobs of a queue that were accepted in two turns')
def accept_in_turns(context: Any) -> None:
    """Accept a job in each tenth of a second of the turns."""
    context.work = WorkModel(Random(1))
    jobs = context.work.tables.jobs
    for begin in TURNS:
        for number in range(TURN_SECONDS * 10):
            at = begin + number / 10
            spec = JobSpec(JobId(f'{at}'), '', (make_phase(1, 1000),))
            jobs.apply(JobAccepted(spec, QUEUE, SERVICE, at))


@when('a new leader reads them')
def read_turns(context: Any) -> None:
    """Find the turns when the last one is over."""
    now = TURNS[-1] + TURN_SECONDS * 2
    index = ArrivalIndex()
    index.update(context.work.scheduler, Moment(now, now))
    context.turns = TurnForecast()
    context.turns.update({}, index.arrivals, now)


@then('it expects the third turn')
def check_third_turn(context: Any) -> None:
    """Check when the next turn is expected."""
    expected = context.turns.expected[PoolName(SERVICE)]
    begin = TURNS[-1] + TURNS[-1] - TURNS[0]
    assert abs(expected.begin - begin) <= MAX_ERROR_SECONDS, expected
    assert abs(expected.length - TURN_SECONDS) <= MAX_ERROR_SECONDS, expected
