"""Steps with the planners and controllers of moves and waves."""

from asyncio import run
from random import Random
from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_core.ids import (
    HostId,
    JobId,
    PoolName,
    TaskId,
    WorkerId,
    ZoneName,
)
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.events import PoolCapacityEvent
from hornbeamstair_fleet.moves.forecasts import CapacityForecast
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_fleet.moves.planner import MovePlanner
from hornbeamstair_fleet.moves.views import PoolView
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
from hornbeamstair_upstreams.work.runs import Run, RunState
from tests.support.waves import (
    NEXT_WORKER,
    make_arrived_moves,
    make_large_wave,
    make_two_waves,
    make_unanswered_move,
    make_unanswered_wave,
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
    """Make a standby pool and a busy pool, whose hosts have runs."""
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
    """Make a pool of idle hosts."""
    for number in range(50, 50 + count):
        host = _make_host(number, QUIET)
        context.hosts[host.host] = host
        context.loads[host.worker] = HostLoad(0, 0)


@when('the quiet pool was short of capacity {seconds:d} seconds ago')
def plan_shortage(context: Any, seconds: int) -> None:
    """Plan once with more demand than capacity."""
    context.moves.plan(_view(context, 0, quiet=200000), NOW - seconds)


@when('there is no demand for {seconds:d} seconds')
def plan_without_demand(context: Any, seconds: int) -> None:
    """Plan without waiting or expected work."""
    context.moves.plan(_view(context, 0), NOW)
    context.plan = context.moves.plan(_view(context, 0), NOW + seconds)


@when('the list still shows these hosts as up after {seconds:g} seconds')
def plan_with_old_list(context: Any, seconds: float) -> None:
    """Plan again while the list is older than the last moves."""
    view = evolve(
        _view(context, 0),
        in_progress={move.host: move.pool for move in context.plan},
    )
    context.plan = context.moves.plan(view, NOW + seconds)


@when('the platform refuses to move the standby host to the busy pool')
def refuse_move(context: Any) -> None:
    """Add a refusal by the platform."""
    context.moves.add_refusal(HostId('m0'), BUSY)


@when('{count:d} long-running tasks of the busy pool fit on no worker')
def plan_unplaced(context: Any, count: int) -> None:
    """Plan with long-running tasks that wait."""
    context.plan = context.moves.plan(_view(context, 0, count), NOW)


@then('the quiet pool keeps {count:d} hosts')
def check_quiet(context: Any, count: int) -> None:
    """Check how many hosts do not move."""
    moving = [move for move in context.plan if move.origin == QUIET]
    size = sum(host.pool == QUIET for host in context.hosts.values())
    assert size - len(moving) == count, context.plan


@given(
    'a pool with a demand of {earlier:d} cores and a second later {latest:d}',
)
def make_changing_demand(context: Any, earlier: int, latest: int) -> None:
    """Add samples of a demand that changes."""
    context.forecast = CapacityForecast()
    for at, cores in ((NOW - 1, earlier), (NOW, latest)):
        context.forecast.add_sample(cores * 1000, 0, at)


@given('a pool that got one job for {cores:d} cores')
def make_large_job(context: Any, cores: int) -> None:
    """Add samples before and after one job."""
    context.forecast = CapacityForecast()
    context.forecast.add_sample(0, 0, NOW - 1)
    context.forecast.add_sample(cores * 1000, cores * 1000, NOW)


@then('its forecast requirement is {cores:d} cores')
def check_forecast(context: Any, cores: int) -> None:
    """Check the latest forecast."""
    assert context.forecast.get_required() == cores * 1000, context.forecast


@then('it retains {cores:d} cores')
def check_retained(context: Any, cores: int) -> None:
    """Check the retained capacity."""
    assert context.forecast.get_retained() == cores * 1000, context.forecast


@when(
    'a job for {count:d} hosts started in the quiet pool {seconds:d} seconds '
    'ago and has ended',
)
def plan_ended_job(context: Any, count: int, seconds: int) -> None:
    """Plan with the work of a job, then without it."""
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


@given('a new leader while an order to move a host is in progress')
def take_over_with_move(context: Any) -> None:
    """Start a scheduler with a worker that must not get runs."""
    context.work = WorkModel(Random(1), lost_share=0, delayed_share=0)
    context.work.run(1)
    context.work.change_leader((WorkerId('w0'),))


@when('a job is accepted and {seconds:d} seconds pass')
def accept_job(context: Any, seconds: int) -> None:
    """Accept a job that would use every worker."""
    context.work.accept(JobId('1' * 16), (make_phase(12, 3000),))
    context.work.run(seconds)


@then('no run was started on that host')
def check_no_start(context: Any) -> None:
    """Check the runs that each worker started."""
    workers = context.work.workers
    assert not workers['w0'].highest_runs, workers['w0'].highest_runs
    assert workers['w1'].highest_runs


@then("the host's worker may go down at any moment")
def check_going_down(context: Any) -> None:
    """Check the workers of orders in progress."""
    assert context.waves.table.get_ordered_workers() == {WorkerId('before')}


@then('no worker may go down')
def check_none_going_down(context: Any) -> None:
    """Check that no order is in progress."""
    assert not context.waves.table.get_ordered_workers()


@when('the busy pool requires {count:d} more hosts')
def make_demand(context: Any, count: int) -> None:
    """Plan with waiting work."""
    context.plan = context.moves.plan(_view(context, count * 16000), NOW)


@when(
    'the busy pool requires {count:d} more hosts and the quiet one could use '
    '{quiet:g}',
)
def make_demands(context: Any, count: int, quiet: float) -> None:
    """Plan with work for two pools."""
    view = _view(context, count * 16000, quiet=round(quiet * 16000))
    context.plan = context.moves.plan(view, NOW)


@when('they arrive and no work waits for {seconds:d} seconds')
def arrive_idle(context: Any, seconds: int) -> None:
    """Plan with the moved hosts idle."""
    _arrive(context)
    context.moves.plan(_view(context, 0), NOW + 1)
    context.plan = context.moves.plan(_view(context, 0), NOW + 1 + seconds)


@when('they arrive and get runs')
def arrive_busy(context: Any) -> None:
    """Plan with runs on the moved hosts."""
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
    'a wave of {in_wave:d} hosts of one pool of {size:d} with at most '
    '{limit:d} down',
)
def make_wave(context: Any, in_wave: int, size: int, limit: int) -> None:
    """Make a wave of some hosts of a pool."""
    context.hosts = {
        HostId(f'm{number}'): _make_host(number, BUSY) for number in range(size)
    }
    hosts = tuple(list(context.hosts)[:in_wave])
    wave = Wave(1, hosts, NOW, NOW + 60, limit)
    steps = dict.fromkeys(hosts, HostStep.waiting)
    context.now = NOW
    context.short_pools = ()
    context.wave_loads = {}
    context.progress = WaveProgress(wave, steps)


@when('{count:d} of them are down')
def take_down(context: Any, count: int) -> None:
    """Set the step of some hosts to accepted orders."""
    for host in list(context.progress.steps)[:count]:
        context.progress.steps[host] = HostStep.taken


@then('{count:d} hosts are ordered down at once')
def check_ordered(context: Any, count: int) -> None:
    """Check how many hosts are ordered down."""
    plan = _plan_wave(context)
    assert len(plan.ordered) == count, plan


@when('the pool is short of capacity')
def make_short(context: Any) -> None:
    """Pass the pool as one that is short of capacity."""
    context.short_pools = (BUSY,)


@when('{seconds:d} seconds are left until the deadline')
def near_deadline(context: Any, seconds: int) -> None:
    """Set the time before the deadline."""
    context.now = context.progress.wave.deadline - seconds


@when('each host has a long-running run')
def load_hosts(context: Any) -> None:
    """Put a long-running run on each host."""
    context.wave_loads = {
        host.worker: HostLoad(1, 8, has_long_running=True)
        for host in context.hosts.values()
    }


@when(
    '{count:d} hosts have a long-running run and the others a short one',
)
def load_some_hosts(context: Any, count: int) -> None:
    """Put a run on each host, a long-running one on some."""
    context.wave_loads = {
        host.worker: HostLoad(1, 8, has_long_running=True)
        if number < count
        else HostLoad(1, 1)
        for number, host in enumerate(context.hosts.values())
    }


@then('{count:d} of those with a long-running run are reserved')
def check_reserved_long_running(context: Any, count: int) -> None:
    """Check how many hosts with long-running runs are reserved."""
    reserved = _plan_wave(context).reserved
    long_running = [
        worker
        for worker in reserved
        if context.wave_loads[worker].has_long_running
    ]
    assert len(long_running) == count, reserved


@then('{count:d} hosts are reserved')
def check_reserved(context: Any, count: int) -> None:
    """Check how many workers are reserved."""
    plan = _plan_wave(context)
    assert len(plan.reserved) == count, plan


@given('a wave of one host whose order gets no answer')
def start_wave(context: Any) -> None:
    """Declare a wave and let its order be sent."""
    context.waves = make_waves(WorkModel(Random(1)))
    context.waves.run_for(1)


@given('a wave of one host whose order is executed but not answered')
def start_unanswered_wave(context: Any) -> None:
    """Declare a wave of a host with two known workers in turn."""
    context.work = WorkModel(Random(1))
    context.work.run(1)
    context.waves = make_unanswered_wave(context.work)


@given('two waves of one host whose refused orders get no answer')
def start_two_waves(context: Any) -> None:
    """Declare two waves of a host."""
    context.waves = make_two_waves(WorkModel(Random(1)))


@then('the host was maintained for waves {first:d} and {second:d}')
def check_maintained(context: Any, first: int, second: int) -> None:
    """Check for which waves a maintenance has begun."""
    begun = context.waves.client.begun
    assert sorted(begun) == [first, second], begun


@then('both waves are complete')
def check_both_complete(context: Any) -> None:
    """Check that no wave is left."""
    assert not list(context.waves.table.get_incomplete())


@given('a move of one host whose order is not answered')
def start_unanswered_move(context: Any) -> None:
    """Order a move of a listed host."""
    context.work = WorkModel(Random(1))
    context.work.run(1)
    context.waves = make_unanswered_move(context.work)
    run(context.waves.controller.hosts.refresh(0))
    context.waves.order_move(HostId('m'))


@when('the host gets another worker without moving')
def check_replaced(context: Any) -> None:
    """Check that the first order has replaced the worker."""
    assert context.waves.client.host.worker == NEXT_WORKER


@when('the moves are reconciled until the order is sent again')
def reconcile_until(context: Any) -> None:
    """Update the moves in progress until there is another order."""
    before = context.waves.client.orders
    for _ in range(4):
        if context.waves.client.orders == before:
            reconcile_moves(context, 1)


@when('the moves are reconciled for {seconds:d} seconds')
def reconcile_moves(context: Any, seconds: int) -> None:
    """Update the moves in progress from new lists."""
    waves = context.waves
    controller = waves.make_move_controller()
    for _ in range(seconds):
        waves.now += 1
        run(controller.reconcile(waves.scheduler))


@when('the next worker of the host has a run')
def add_run(context: Any) -> None:
    """Place a run on the next worker."""
    session = context.work.scheduler.sessions[NEXT_WORKER]
    needs = make_phase(1, 1000).needs
    session.add_run(Run(TaskId('t'), 1, needs, 'p', RunState.running, 0))


@then('the order was sent {count:d} times, with the next worker reserved')
def check_resent(context: Any, count: int) -> None:
    """Check the orders, and the worker during the last one."""
    client = context.waves.client
    assert client.orders == count, client.orders
    assert client.was_reserved


@then('the next worker of the host has not ended')
def check_alive(context: Any) -> None:
    """Check that no notice was applied to the next worker."""
    session = context.work.scheduler.sessions[NEXT_WORKER]
    assert session.terminated_at is None


@then('the next worker of the host may get work')
def check_released(context: Any) -> None:
    """Check that the next worker is not reserved any more."""
    session = context.work.scheduler.sessions[NEXT_WORKER]
    assert not session.is_reserved


@then(
    'the busy pool is logged with {hosts:d} hosts, {idle:d} idle and '
    '{missing:d} of capacity missing'
)
def check_busy_capacity(
    context: Any,
    hosts: int,
    idle: int,
    missing: int,
) -> None:
    """Check the event about the busy pool."""
    event = _get_events(context)[BUSY]
    assert (event.hosts, event.idle) == (hosts, idle), event
    assert event.needed - event.room == missing, event


@then('the standby pool is logged with {hosts:d} hosts and {idle:d} idle')
def check_standby_capacity(context: Any, hosts: int, idle: int) -> None:
    """Check the event about the standby pool."""
    event = _get_events(context)[STANDBY]
    assert (event.hosts, event.idle) == (hosts, idle), event


@given('a wave of {count:d} idle hosts of different pools')
def start_large_wave(context: Any, count: int) -> None:
    """Declare a wave whose hosts may all be down at a time."""
    context.waves = make_large_wave(WorkModel(Random(1)), count)


@then('{count:d} orders were in progress at a time')
def check_orders(context: Any, count: int) -> None:
    """Check the maximum number of concurrent orders."""
    assert context.waves.client.max_orders == count, (
        context.waves.client.max_orders
    )


@then('the wave took {count:d} commits')
def check_commits(context: Any, count: int) -> None:
    """Check the number of commits."""
    assert context.waves.commits == count, context.waves.commits


@given('{count:d} hosts whose ordered moves have arrived')
def make_arrived(context: Any, count: int) -> None:
    """Make moves whose hosts are listed in their target pools."""
    context.waves = make_arrived_moves(WorkModel(Random(1)), count)


@when('the move controller runs once')
def run_move_controller(context: Any) -> None:
    """Run one pass of the move controller."""
    controller = context.waves.make_move_controller()
    run(controller.reconcile(context.waves.scheduler))


@given('a platform that accepts {count:d} orders at a time')
def limit_orders(context: Any, count: int) -> None:
    """Have the platform throttle further orders."""
    context.waves.client.max_concurrent = count


@then('the platform accepted the orders of {count:d} hosts')
def check_taken(context: Any, count: int) -> None:
    """Check how many orders are recorded as accepted."""
    progress = context.waves.table.waves[1]
    assert len(progress.get_hosts(HostStep.taken)) == count, progress


@when('a move of host {host} is ordered and throttled')
def throttle_move(context: Any, host: str) -> None:
    """Order a move that the platform throttles."""
    context.waves.order_move(HostId(host))


@then('no move is in progress')
def check_arrived(context: Any) -> None:
    """Check that all moves have ended."""
    assert not context.waves.move_table.in_progress


@then('{count:d} commit was made')
def check_move_commits(context: Any, count: int) -> None:
    """Check the number of commits."""
    assert context.waves.commits == count, context.waves.commits


@then('{count:d} hosts are excluded from moves')
def check_excluded(context: Any, count: int) -> None:
    """Check the number of hosts that must not move."""
    assert (
        len(context.waves.make_move_controller().get_hosts_in_progress())
        == count
    )


@when('host {host} is moving to another pool')
def add_move(context: Any, host: str) -> None:
    """Add a move that the list does not show yet."""
    context.waves.moves.moving.add(HostId(host))


@then('host {host} waits for its maintenance')
def check_waiting(context: Any, host: str) -> None:
    """Check that a host was not ordered down."""
    progress = context.waves.table.waves[1]
    assert progress.steps[HostId(host)] == HostStep.waiting


@when("the host's worker crashes and another one starts")
def replace_worker(context: Any) -> None:
    """Have the list show a different worker."""
    client = context.waves.client
    client.host = evolve(client.host, worker=WorkerId('crashed'))


@when('the platform accepts the order and the host is up again')
def take_order(context: Any) -> None:
    """Have the platform accept orders."""
    context.waves.client.outcome = HostOutcome.done


@when('the wave controller runs for {seconds:d} seconds')
def run_wave_controller(context: Any, seconds: int) -> None:
    """Run the wave controller for some time."""
    context.waves.run_for(seconds)


@then('the wave is not complete')
def check_incomplete(context: Any) -> None:
    """Check that the wave is not complete."""
    assert not context.waves.table.waves[1].is_complete


@then('the wave is complete')
def check_complete(context: Any) -> None:
    """Check that the wave is complete."""
    assert context.waves.table.waves[1].is_complete


def _get_events(context: Any) -> dict[PoolName, PoolCapacityEvent]:
    events = context.moves.get_events(_view(context, 48000))
    return {PoolName(event.pool): event for event in events}


def _plan_wave(context: Any) -> WavePlan:
    return WavePlanner().plan(
        context.progress,
        context.hosts,
        context.wave_loads,
        Moment(context.now, context.now),
        context.short_pools,
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
    unplaced: int = 0,
    quiet: int = 0,
) -> PoolView:
    capacity = 16000 * sum(host.pool == BUSY for host in context.hosts.values())
    # 0.65 is the target utilization of the forecast.
    usable = round((capacity + missing) * 0.65) if missing else 0
    idle = 16000 * sum(host.pool == QUIET for host in context.hosts.values())
    demands = {
        BUSY: PoolDemand(BUSY, False, usable, 0, capacity, 16000, unplaced),
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
