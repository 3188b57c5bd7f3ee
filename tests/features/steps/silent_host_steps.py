"""Steps on hosts about which the platform or a worker is silent."""

from asyncio import run
from collections.abc import Iterator
from random import Random
from typing import Any

from attrs import define, evolve
from behave import given, then, when

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_fleet.events import PoolCapacityEvent
from hornbeamstair_fleet.moves.messages import Move, MoveStarted, PoolDemand
from hornbeamstair_fleet.moves.planner import MovePlanner
from hornbeamstair_fleet.moves.views import PoolView
from hornbeamstair_fleet.waves.messages import (
    HostOutcome,
    HostState,
    MaintenanceStarted,
    MaintenanceUpdated,
)
from tests.features.steps.fleet_steps import BUSY, STANDBY
from tests.support.host_lists import ScriptedHostsClient, make_listed_host
from tests.support.waves import STEP_SECONDS, WaveModel
from tests.support.work_model import WorkModel, replace_worker

WAVE = 1
HOST_CPU = 16000
# By then all leases of a silent worker have expired.
EXPIRY_SECONDS = 5


@define(eq=False)
class OneMovePlanner(MovePlanner):
    """Planner that plans the same move again and again."""

    move: Move | None = None

    def plan(self, view: PoolView, now: float) -> list[Move]:
        """Plan the move."""
        return [] if self.move is None else [self.move]

    def get_events(self, view: PoolView) -> Iterator[PoolCapacityEvent]:
        """Get no events."""
        return iter(())


@given('a wave of hosts "{names}" whose orders have the outcomes "{outcomes}"')
def make_wave(context: Any, names: str, outcomes: str) -> None:
    """Make a wave of idle hosts, and a host beside it."""
    hosts = [
        make_listed_host(name, WorkerId(f'before-{name}'))
        for name in (*names.split(), 'm2')
    ]
    context.client = ScriptedHostsClient(
        {host.host: host for host in hosts},
        [HostOutcome(outcome) for outcome in outcomes.split()],
    )
    context.work = WorkModel(Random(1), worker_count=0)
    context.waves = WaveModel(
        context.work.scheduler,
        context.client,
        tuple(map(HostId, names.split())),
    )
    context.moves = context.waves.make_move_controller()


@given('a platform that executes each order')
def execute_orders(context: Any) -> None:
    """Have orders replace the workers, whatever their outcome."""
    context.client.executes = True


@given('a move of host {name}')
def add_move(context: Any, name: str) -> None:
    """Record a move."""
    host = context.client.hosts[HostId(name)]
    move = Move(host.host, host.pool, PoolName('q'), host.worker)
    context.waves.move_table.apply(MoveStarted(move))


@given('runs that take {seconds:d} seconds')
def set_run_seconds(context: Any, seconds: int) -> None:
    """Set the duration of runs."""
    context.work.short_seconds = seconds, seconds


@when('the hosts are reconciled for {seconds:d} seconds')
def reconcile(context: Any, seconds: int) -> None:
    """Run the controllers of waves and moves."""
    for _ in range(round(seconds / STEP_SECONDS)):
        context.waves.run_for(STEP_SECONDS)
        run(context.moves.reconcile(context.waves.scheduler))


@when('the list of hosts has been read')
def read_list(context: Any) -> None:
    """Read the list."""
    run(context.waves.controller.hosts.refresh(0))


@when('the list of hosts cannot be read for {seconds:d} seconds')
def hide_list(context: Any, seconds: int) -> None:
    """Have the reads of the list fail for a while."""
    context.client.is_readable = False
    reconcile(context, seconds)
    context.client.is_readable = True


@when('the list lacks host {name} for {seconds:d} seconds')
def hide_host(context: Any, name: str, seconds: int) -> None:
    """Leave a host out of the lists."""
    context.client.hidden = {HostId(name)}
    reconcile(context, seconds)


@when(
    'host {name} is maintained for {seconds:d} seconds and back with the same '
    'worker'
)
def maintain_host(context: Any, name: str, seconds: int) -> None:
    """Show a host as down for a while, and then as before."""
    host = context.client.hosts[HostId(name)]
    down = evolve(host, state=HostState.maintenance, worker=WorkerId(''))
    context.client.hosts[host.host] = down
    reconcile(context, seconds)
    context.client.hosts[host.host] = host


@when('another leader has the next worker of host {name} maintained')
def maintain_elsewhere(context: Any, name: str) -> None:
    """Record an accepted order for another worker than the listed one."""
    host = HostId(name)
    started = MaintenanceStarted(WAVE, host, WorkerId('next'))
    context.waves.table.apply(started)
    taken = MaintenanceUpdated(WAVE, host, is_taken=True, is_over=False)
    context.waves.table.apply(taken)


@when(
    'this process leads again and cannot read the list for {seconds:d} seconds'
)
def lead_again(context: Any, seconds: int) -> None:
    """Start another term of the process."""
    context.work.change_leader()
    context.waves.scheduler = context.work.scheduler
    hide_list(context, seconds)


@when('a wave names the host of its worker')
def name_host(context: Any) -> None:
    """Make a wave of the host that runs the only task."""
    work = context.work
    while not _find_busy(work):
        work.step()
    _make_wave(context, _find_busy(work))
    run_both(context, 1)


@when('a wave names the hosts of the workers that are not known yet')
def name_unknown(context: Any) -> None:
    """Make a wave of the hosts of inherited runs."""
    unknown = context.work.scheduler.inherited.runs_by_worker
    assert unknown
    _make_wave(context, list(unknown))


@when('the list cannot be read while another worker starts on that host')
def replace_listed(context: Any) -> None:
    """Replace the worker of the host; the task starts on the new one."""
    work = context.work
    context.client.is_readable = False
    worker = _find_busy(work)[0]
    known = set(work.workers)
    replace_worker(work, worker)
    host_id = context.waves.hosts[0]
    name = next(name for name in work.workers if name not in known)
    host = context.client.hosts[host_id]
    context.client.hosts[host_id] = evolve(host, worker=name)
    for other in work.workers.values():
        # The task starts on the only worker that accepts starts.
        other.refuses_starts = other.worker != name
    run_both(context, 3)
    assert _find_busy(work) == [name]


@when('the list can be read again')
def show_list(context: Any) -> None:
    """Have the reads of the list succeed."""
    context.client.is_readable = True


@when('{seconds:d} seconds pass for the wave as well')
def run_both(context: Any, seconds: int) -> None:
    """Advance the workers and the controller of the wave together."""
    work = context.work
    end = work.now + seconds
    while work.now < end:
        work.run(STEP_SECONDS)
        context.waves.now = work.now
        run(context.waves.controller.reconcile(work.scheduler))


@when('a move of host {name} is sent twice and throttled the second time')
def send_twice(context: Any, name: str) -> None:
    """Order a move and run its controller until the order is sent again."""
    host = context.client.hosts[HostId(name)]
    move = Move(host.host, host.pool, PoolName('q'), host.worker)
    run(context.moves.start_moves((move,)))
    while len(context.client.ordered) < 2:
        context.waves.now += STEP_SECONDS
        run(context.moves.reconcile(context.waves.scheduler))


@when('a move is planned of the host of a worker that has fallen silent')
def plan_move(context: Any) -> None:
    """Plan to move the host of a worker whose leases have expired."""
    work = context.work
    worker = next(iter(work.workers))
    host = make_listed_host('m', worker)
    context.client = ScriptedHostsClient(
        {host.host: host}, [HostOutcome.unknown]
    )
    context.waves = WaveModel(work.scheduler, context.client, ())
    context.moves = context.waves.make_move_controller()
    context.move = Move(host.host, host.pool, PoolName('q'), worker)
    context.moves.planner = OneMovePlanner()
    work.workers[worker].is_partitioned = True
    reconcile_moves(context)


@when('the list of hosts is a second old')
def age_list(context: Any) -> None:
    """Plan the move once the list has been read a second ago."""
    context.moves.planner.move = context.move
    context.work.run(1)
    pass_moves(context)


@when('the list of hosts is read again')
def read_list(context: Any) -> None:
    """Let the list become too old, so that the next pass reads it."""
    reconcile_moves(context)


@when('its worker answers again')
def reach_worker(context: Any) -> None:
    """Heal the partition."""
    for worker in context.work.workers.values():
        worker.is_partitioned = False
    reconcile_moves(context)


@when('the busy pool requires 1 more host while host {name} moves there')
def plan_beside_move(context: Any, name: str) -> None:
    """Plan with a move in progress to a pool that lacks one host."""
    # 0.65 is the target utilization of the forecast.
    usable = round(3 * HOST_CPU * 0.65)
    demand = PoolDemand(BUSY, False, usable, 0, 2 * HOST_CPU, HOST_CPU, 0)
    standby = PoolDemand(STANDBY, True, 0, 0, 0, 0, 0)
    view = PoolView(
        {BUSY: demand, STANDBY: standby},
        context.hosts,
        context.loads,
        {HostId(name): BUSY},
    )
    context.plan = MovePlanner().plan(view, 100)


@when('host {name} goes down')
def lose_host(context: Any, name: str) -> None:
    """Have the list show a host as down."""
    host = context.hosts[HostId(name)]
    context.hosts[host.host] = evolve(host, state=HostState.down)


@then('the host is ordered to move')
def check_move_ordered(context: Any) -> None:
    """Check that the platform got the order."""
    assert context.client.ordered == [HostId('m')], context.client.ordered


@then('host {name} is at the step {step}')
def check_step(context: Any, name: str, step: str) -> None:
    """Check the step of a host."""
    progress = context.waves.table.waves[WAVE]
    current = progress.steps[HostId(name)]
    assert current.value == step, current


@then('host {name} is moving')
def check_moving(context: Any, name: str) -> None:
    """Check that the move of a host is in progress."""
    assert HostId(name) in context.waves.move_table.in_progress


@then('host {name} is not moving')
def check_not_moving(context: Any, name: str) -> None:
    """Check that the move of a host is over."""
    assert HostId(name) not in context.waves.move_table.in_progress


@then('no order was given')
def check_no_order(context: Any) -> None:
    """Check the orders that the platform got."""
    assert not context.client.ordered, context.client.ordered


def _find_busy(work: WorkModel) -> list[WorkerId]:
    return [name for name, worker in work.workers.items() if worker.runs]


def reconcile_moves(context: Any) -> None:
    """Advance the workers, then run the controller of the moves once."""
    context.work.run(EXPIRY_SECONDS)
    pass_moves(context)


def pass_moves(context: Any) -> None:
    """Run the controller of the moves once, at the time of the workers."""
    context.waves.now = context.work.now
    run(context.moves.reconcile(context.work.scheduler))


def _make_wave(context: Any, workers: list[WorkerId]) -> None:
    hosts = [make_listed_host(f'm-{worker}', worker) for worker in workers]
    context.client = ScriptedHostsClient(
        {host.host: host for host in hosts},
        [HostOutcome.done],
    )
    context.waves = WaveModel(
        context.work.scheduler,
        context.client,
        tuple(context.client.hosts),
        now=context.work.now,
    )
    context.moves = context.waves.make_move_controller()
