"""Steps with the planners of moves and waves."""

from asyncio import run
from random import Random
from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_core.ids import (
    HostId,
    JobId,
    PoolName,
    WorkerId,
    ZoneName,
)
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.events import PoolRoomEvent
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_fleet.moves.needs import RoomNeed
from hornbeamstair_fleet.moves.planner import MovePlanner, PoolView
from hornbeamstair_fleet.waves.messages import (
    HostOutcome,
    HostState,
    ListedHost,
    Wave,
)
from hornbeamstair_fleet.waves.planner import (
    HostLoad,
    WavePlan,
    WavePlanner,
)
from hornbeamstair_fleet.waves.table import HostStep, WaveProgress
from tests.support.waves import (
    make_arrived_moves,
    make_large_wave,
    make_waves,
)
from tests.support.work_model import (
    WorkModel,
    make_phase,
)

BUSY = PoolName('busy')
STANDBY = PoolName('standby')
QUIET = PoolName('quiet')
ZONE = ZoneName('z')
NOW = 100


@given('a standby pool with {spares:d} hosts and a busy pool with {busy:d}')
def make_pools(context: Any, spares: int, busy: int) -> None:
    """Describe two pools."""
    pools = [STANDBY] * spares + [BUSY] * busy
    context.hosts = {
        HostId(f'm{number}'): _make_host(number, pool)
        for number, pool in enumerate(pools)
    }
    context.loads = {
        host.worker: HostLoad(1, 1)
        for host in context.hosts.values()
        if host.pool == BUSY
    }
    context.moves = MovePlanner()


@given('a quiet pool with {count:d} idle hosts')
def make_quiet(context: Any, count: int) -> None:
    """Describe a pool in which nothing runs."""
    for number in range(50, 50 + count):
        host = _make_host(number, QUIET)
        context.hosts[host.host] = host
        context.loads[host.worker] = HostLoad(0, 0)


@when('the quiet pool lacked room {seconds:d} seconds ago')
def lack_once(context: Any, seconds: int) -> None:
    """Plan once with more work than the pool has room for."""
    context.moves.plan(_view(context, 0, quiet=200000), NOW - seconds)


@when('nothing is asked for {seconds:d} seconds')
def ask_nothing(context: Any, seconds: int) -> None:
    """Plan while nothing waits or is expected."""
    context.moves.plan(_view(context, 0), NOW)
    context.plan = context.moves.plan(_view(context, 0), NOW + seconds)


@when('the platform refuses to move the standby host to the busy pool')
def refuse_move(context: Any) -> None:
    """Note a refusal."""
    context.moves.note_refused(HostId('m0'), BUSY)


@when('{count:d} lasting tasks of the busy pool have no place')
def displace(context: Any, count: int) -> None:
    """Plan with lasting tasks that wait."""
    context.plan = context.moves.plan(_view(context, 0, count), NOW)


@then('the quiet pool keeps {count:d} hosts')
def check_quiet(context: Any, count: int) -> None:
    """Check how many hosts stay."""
    left = [move for move in context.plan if move.origin == QUIET]
    size = sum(host.pool == QUIET for host in context.hosts.values())
    assert size - len(left) == count, context.plan


@given('a pool that could use {former:d} cores and a second later {latest:d}')
def make_need(context: Any, former: int, latest: int) -> None:
    """Note a demand that changes."""
    context.need = RoomNeed()
    for at, cores in ((NOW - 1, former), (NOW, latest)):
        context.need.note(cores * 1000, 0, at)


@given('a pool in which a job for {cores:d} cores came')
def make_lump(context: Any, cores: int) -> None:
    """Note one job."""
    context.need = RoomNeed()
    context.need.note(0, 0, NOW - 1)
    context.need.note(cores * 1000, cores * 1000, NOW)


@then('it needs room for {cores:d} cores')
def check_need(context: Any, cores: int) -> None:
    """Check what is needed soon."""
    assert context.need.get_latest() == cores * 1000, context.need


@then('it gives room beyond {cores:d} cores away')
def check_kept(context: Any, cores: int) -> None:
    """Check what is kept."""
    assert context.need.get_kept() == cores * 1000, context.need


@when(
    'a job for {count:d} hosts came to the quiet pool {seconds:d} seconds ago '
    'and is over',
)
def have_lump(context: Any, count: int, seconds: int) -> None:
    """Plan twice: with the work of a job, and without it."""
    view = _view(context, 0, quiet=count * 16000)
    context.moves.plan(view, NOW - seconds)
    context.moves.plan(_view(context, 0), NOW)


@then('{count:d} hosts move to the busy pool {seconds:d} seconds later')
def check_later(context: Any, count: int, seconds: int) -> None:
    """Check the moves of a later plan."""
    view = _view(context, 9 * 16000)
    context.moves.plan(view, NOW + seconds - 1)
    context.plan = context.moves.plan(view, NOW + seconds)
    check_moves(context, count, 'busy')


@given('a holder that takes over while a host may leave by an order')
def take_over_held(context: Any) -> None:
    """Have a scheduler start with a worker held back."""
    context.work = WorkModel(Random(1), lost_share=0, late_share=0)
    context.work.run(1)
    context.work.take_over((WorkerId('w0'),))


@when('a job comes and {seconds:d} seconds pass')
def take_job(context: Any, seconds: int) -> None:
    """Accept a job that would use every worker."""
    context.work.accept(JobId('1' * 16), (make_phase(12, 3000),))
    context.work.run(seconds)


@then('nothing was started on that host')
def check_held_back(context: Any) -> None:
    """Check the starts of each worker."""
    workers = context.work.workers
    assert not workers['w0'].highest, workers['w0'].highest
    assert workers['w1'].highest


@then("the host's worker may go down at any moment")
def check_may_go(context: Any) -> None:
    """Check the workers of orders in progress."""
    assert context.waves.table.get_workers() == {WorkerId('before')}


@then('no worker may go down')
def check_none_goes(context: Any) -> None:
    """Check that no order is in progress."""
    assert not context.waves.table.get_workers()


@when('the busy pool lacks the processor of {count:d} hosts')
def make_demand(context: Any, count: int) -> None:
    """Plan with work that waits."""
    context.plan = context.moves.plan(_view(context, count * 16000), NOW)


@when(
    'the busy pool lacks {count:d} hosts and the quiet one could use {quiet:g}',
)
def make_demands(context: Any, count: int, quiet: float) -> None:
    """Plan with work for two pools."""
    view = _view(context, count * 16000, quiet=round(quiet * 16000))
    context.plan = context.moves.plan(view, NOW)


@when('they have arrived and nothing waits for {seconds:d} seconds')
def arrive_idle(context: Any, seconds: int) -> None:
    """Let the moved hosts be idle."""
    _arrive(context)
    context.moves.plan(_view(context, 0), NOW + 1)
    context.plan = context.moves.plan(_view(context, 0), NOW + 1 + seconds)


@when('they have arrived and run something')
def arrive_busy(context: Any) -> None:
    """Let the moved hosts run something."""
    _arrive(context)
    for host in context.hosts.values():
        context.loads[host.worker] = HostLoad(2, 1)
    context.moves.plan(_view(context, 0), NOW + 1)
    context.plan = context.moves.plan(_view(context, 0), NOW + 9)


@then('{count:d} hosts move to the {name} pool')
def check_moves(context: Any, count: int, name: str) -> None:
    """Check the planned moves."""
    targets = [move.pool for move in context.plan]
    assert targets == [PoolName(name)] * count, context.plan


@given(
    'a wave of {due:d} hosts of one pool of {size:d} with at most '
    '{limit:d} down',
)
def make_wave(context: Any, due: int, size: int, limit: int) -> None:
    """Describe a wave."""
    context.hosts = {
        HostId(f'm{number}'): _make_host(number, BUSY) for number in range(size)
    }
    hosts = tuple(list(context.hosts)[:due])
    wave = Wave(1, hosts, NOW, NOW + 60, limit)
    steps = dict.fromkeys(hosts, HostStep.waiting)
    context.now = NOW
    context.short = ()
    context.wave_loads = {}
    context.progress = WaveProgress(wave, steps)


@when('{count:d} of them are down')
def take_down(context: Any, count: int) -> None:
    """Take some hosts down."""
    for host in list(context.progress.steps)[:count]:
        context.progress.steps[host] = HostStep.taken


@then('{count:d} hosts are ordered down at once')
def check_ordered(context: Any, count: int) -> None:
    """Check how many hosts are ordered down."""
    plan = _plan_wave(context)
    assert len(plan.ordered) == count, plan


@when('the pool lacks room')
def lack_room(context: Any) -> None:
    """Have more work than the pool can do."""
    context.short = (BUSY,)


@when('{seconds:d} seconds are left of the wave')
def near_deadline(context: Any, seconds: int) -> None:
    """Let the deadline come near."""
    context.now = context.progress.wave.deadline - seconds


@when('a run that lasts is on each host')
def load_hosts(context: Any) -> None:
    """Have something run on each host."""
    context.wave_loads = {
        host.worker: HostLoad(1, 8, has_lasting=True)
        for host in context.hosts.values()
    }


@when(
    'a run that lasts is on {count:d} of the hosts and short runs on the others'
)
def load_some_hosts(context: Any, count: int) -> None:
    """Have something run on each host that lasts on some."""
    context.wave_loads = {
        host.worker: HostLoad(1, 8, has_lasting=True)
        if number < count
        else HostLoad(1, 1)
        for number, host in enumerate(context.hosts.values())
    }


@then('{count:d} of those with a run that lasts are kept free')
def check_reserved_lasting(context: Any, count: int) -> None:
    """Check how many hosts are freed of runs that last."""
    reserved = _plan_wave(context).reserved
    lasting = [
        worker for worker in reserved if context.wave_loads[worker].has_lasting
    ]
    assert len(lasting) == count, reserved


@then('{count:d} hosts are kept free')
def check_reserved(context: Any, count: int) -> None:
    """Check how many hosts get no new work."""
    plan = _plan_wave(context)
    assert len(plan.reserved) == count, plan


@given('a wave of one host whose order has no answer')
def start_wave(context: Any) -> None:
    """Declare a wave and have its order sent."""
    context.waves = make_waves(WorkModel(Random(1)))
    context.waves.pass_time(1)


@then(
    'the busy pool is logged with {hosts:d} hosts, {idle:d} idle and '
    '{lacking:d} of room lacking'
)
def check_busy_room(
    context: Any,
    hosts: int,
    idle: int,
    lacking: int,
) -> None:
    """Check what is logged of the busy pool."""
    event = _describe(context)[BUSY]
    assert (event.hosts, event.idle) == (hosts, idle), event
    assert event.needed - event.room == lacking, event


@then('the standby pool is logged with {hosts:d} hosts and {idle:d} idle')
def check_standby_room(context: Any, hosts: int, idle: int) -> None:
    """Check what is logged of the standby pool."""
    event = _describe(context)[STANDBY]
    assert (event.hosts, event.idle) == (hosts, idle), event


@given('a wave of {count:d} idle hosts of other pools each')
def start_large_wave(context: Any, count: int) -> None:
    """Declare a wave whose hosts may all go down at a time."""
    context.waves = make_large_wave(WorkModel(Random(1)), count)


@then('{count:d} orders were on their way at a time')
def check_orders(context: Any, count: int) -> None:
    """Check how many orders the platform had before its first answer."""
    assert context.waves.client.most == count, context.waves.client.most


@then('{count:d} commits carried the wave out')
def check_commits(context: Any, count: int) -> None:
    """Check how many commits the wave waited for."""
    assert context.waves.commits == count, context.waves.commits


@given('{count:d} hosts that were told to move and have arrived')
def arrive_all(context: Any, count: int) -> None:
    """Have the list show hosts where they were to go."""
    context.waves = make_arrived_moves(WorkModel(Random(1)), count)


@when('the moves are carried on')
def carry_on_moves(context: Any) -> None:
    """Let the keeper of moves work once."""
    mover = context.waves.make_mover()
    run(mover.carry_on(context.waves.scheduler))


@given('a platform that takes {count:d} orders at a time')
def limit_orders(context: Any, count: int) -> None:
    """Have the platform throttle orders."""
    context.waves.client.limit = count


@then('the platform took the orders of {count:d} hosts')
def check_taken(context: Any, count: int) -> None:
    """Check how many hosts are known to go down."""
    progress = context.waves.table.waves[1]
    assert len(progress.get_hosts(HostStep.taken)) == count, progress


@when('a move of host {host} is ordered and throttled')
def throttle_move(context: Any, host: str) -> None:
    """Order a move that the platform does not take now."""
    context.waves.order_move(HostId(host))


@then('no host is on its way')
def check_arrived(context: Any) -> None:
    """Check that all moves are over."""
    assert not context.waves.begun.begun


@then('{count:d} commit was waited for')
def check_move_commits(context: Any, count: int) -> None:
    """Check how many commits the moves waited for."""
    assert context.waves.commits == count, context.waves.commits


@then('{count:d} hosts may not move')
def check_bound(context: Any, count: int) -> None:
    """Check how many hosts moves have to leave alone."""
    assert len(context.waves.make_mover().get_bound()) == count


@when('host {host} is on its way to another pool')
def begin_move(context: Any, host: str) -> None:
    """Note a move that the list does not show yet."""
    context.waves.moves.moving.add(HostId(host))


@then('host {host} waits for its maintenance')
def check_waiting(context: Any, host: str) -> None:
    """Check that a host has not been ordered down."""
    progress = context.waves.table.waves[1]
    assert progress.steps[HostId(host)] == HostStep.waiting


@when("the host's worker crashes and another one starts")
def replace_worker(context: Any) -> None:
    """Have the list show another worker."""
    client = context.waves.client
    client.host = evolve(client.host, worker=WorkerId('crashed'))


@when('the platform takes the order and the host comes back')
def take_order(context: Any) -> None:
    """Have the platform answer orders."""
    context.waves.client.outcome = HostOutcome.done


@when('{seconds:d} seconds of waves pass')
def pass_waves(context: Any, seconds: int) -> None:
    """Let the keeper of waves work."""
    context.waves.pass_time(seconds)


@then('the wave is not complete')
def check_incomplete(context: Any) -> None:
    """Check that the wave goes on."""
    assert not context.waves.table.waves[1].is_complete


@then('the wave is complete')
def check_complete(context: Any) -> None:
    """Check that the wave is over."""
    assert context.waves.table.waves[1].is_complete


def _describe(context: Any) -> dict[PoolName, PoolRoomEvent]:
    events = context.moves.describe(_view(context, 48000))
    return {PoolName(event.pool): event for event in events}


def _plan_wave(context: Any) -> WavePlan:
    return WavePlanner().plan(
        context.progress,
        context.hosts,
        context.wave_loads,
        Moment(context.now, context.now),
        context.short,
    )


def _make_host(number: int, pool: PoolName) -> ListedHost:
    return ListedHost(
        HostId(f'm{number}'),
        pool,
        HostState.up,
        ZONE,
        'r1',
        WorkerId(f'w{number}'),
    )


def _view(
    context: Any,
    missing: int,
    homeless: int = 0,
    quiet: int = 0,
) -> PoolView:
    room = 16000 * sum(host.pool == BUSY for host in context.hosts.values())
    # A pool is to keep so much of its room busy.
    usable = round((room + missing) * 0.65) if missing else 0
    idle = 16000 * sum(host.pool == QUIET for host in context.hosts.values())
    demands = {
        BUSY: PoolDemand(BUSY, False, usable, 0, room, 16000, homeless),
        QUIET: PoolDemand(QUIET, False, quiet, quiet, idle, 16000, 0),
        STANDBY: PoolDemand(STANDBY, True, 0, 0, 0, 0, 0),
    }
    return PoolView(
        demands,
        context.hosts,
        context.loads,
        {},
    )


def _arrive(context: Any) -> None:
    for number, move in enumerate(context.plan):
        context.loads[WorkerId(f'w{100 + number}')] = HostLoad(0, 0)
        host = _make_host(100 + number, move.pool)
        context.hosts[move.host] = ListedHost(
            move.host,
            move.pool,
            HostState.up,
            ZONE,
            'r1',
            host.worker,
        )
