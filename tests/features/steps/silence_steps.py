"""Steps with a platform that leaves orders and lists without an answer."""

from asyncio import run
from random import Random
from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_core.ids import HostId
from hornbeamstair_fleet.waves.messages import HostOutcome, HostState
from tests.support.silent_platform import make_silent_move, make_silent_wave
from tests.support.work_model import WorkModel

WAVE = 2


@given(
    'a wave of {count:d} hosts with at most {limit:d} down, whose orders get '
    'no answer',
)
def start_silent_wave(context: Any, count: int, limit: int) -> None:
    """Declare a wave of idle hosts."""
    context.waves = make_silent_wave(WorkModel(Random(1)), count, limit)


@given('a move of host {host} whose order gets no answer')
def start_silent_move(context: Any, host: str) -> None:
    """Order a move of a listed host."""
    context.waves = make_silent_move(WorkModel(Random(1)))
    run(context.waves.controller.hosts.refresh(0))
    context.waves.order_move(HostId(host))
    context.moves = context.waves.make_move_controller()


@given('a platform that answers later orders as {outcome}')
def set_later_outcome(context: Any, outcome: str) -> None:
    """Set the answer to all orders but the first."""
    context.waves.client.later_outcome = HostOutcome[outcome]


@when('the host list fails for {seconds:d} seconds')
def fail_list(context: Any, seconds: int) -> None:
    """Have the list fail for a while."""
    client = context.waves.client
    client.is_listing = False
    context.waves.run_for(seconds)
    client.is_listing = True


@when('the host list lacks host {host} for {seconds:d} seconds')
def unlist_host(context: Any, host: str, seconds: int) -> None:
    """Have the lists lack a host for a while."""
    client = context.waves.client
    client.unlisted.add(HostId(host))
    context.waves.run_for(seconds)
    client.unlisted.clear()


@when('the list shows host {host} as down')
def take_host_down(context: Any, host: str) -> None:
    """Have the list show a host as down."""
    hosts = context.waves.client.hosts
    host_id = HostId(host)
    hosts[host_id] = evolve(hosts[host_id], state=HostState.down)


@when('the move controller runs {passes:d} passes')
def run_move_passes(context: Any, passes: int) -> None:
    """Run the move controller, with a second and a new list for each pass."""
    waves = context.waves
    for _ in range(passes):
        waves.now += 1.3
        run(context.moves.reconcile(waves.scheduler))


@when(
    'the host list lacks host {host} for {passes:d} passes of the move '
    'controller',
)
def unlist_moving_host(context: Any, host: str, passes: int) -> None:
    """Have the lists lack a host for some passes."""
    client = context.waves.client
    client.unlisted.add(HostId(host))
    run_move_passes(context, passes)
    client.unlisted.clear()


@then('wave {number:d} is not complete')
def check_wave_incomplete(context: Any, number: int) -> None:
    """Check that a wave is not complete."""
    assert not context.waves.table.waves[number].is_complete


@then('wave {number:d} is complete')
def check_wave_complete(context: Any, number: int) -> None:
    """Check that a wave is complete."""
    assert context.waves.table.waves[number].is_complete


@then('the move of host {host} is in progress')
def check_move(context: Any, host: str) -> None:
    """Check that a move has not ended."""
    in_progress = context.waves.move_table.in_progress
    assert set(in_progress) == {HostId(host)}, in_progress


@then('only host {host} was ordered down, more than once')
def check_only_ordered(context: Any, host: str) -> None:
    """Check which hosts were ordered down."""
    ordered = context.waves.client.ordered
    assert len(ordered) > 1, ordered
    assert set(ordered) == {HostId(host)}, ordered


@then('host {host} was ordered down')
def check_ordered_host(context: Any, host: str) -> None:
    """Check that a host was ordered down."""
    ordered = context.waves.client.ordered
    assert HostId(host) in ordered, ordered


@then('host {host} may be down')
def check_may_be_down(context: Any, host: str) -> None:
    """Check that a host counts as down."""
    down = context.waves.table.waves[WAVE].get_down_hosts()
    assert down == [HostId(host)], down
