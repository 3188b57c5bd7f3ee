"""Steps with machines whose voters come and go."""

from typing import Any

from behave import given, then, when

from hornbeamstair_core.ids import ProcessId
from tests.support.member_fleet import make_fleet
from tests.support.random_members import (
    CATCH_UP_SECONDS,
    check_service,
    run_members,
    wipe_during,
)

SEED = 17


@given('machines {layout} of which {losses:d} may be lost')
def start_machines(context: Any, layout: str, losses: int) -> None:
    """Start machines and let them settle on their voters."""
    context.fleet = make_fleet(SEED, layout, losses)
    context.fleet.run(CATCH_UP_SECONDS)


@when('{one:w} and {other:w} are off for {seconds:g} seconds')
def turn_off(context: Any, one: str, other: str, seconds: float) -> None:
    """Cut the power of two machines for some time."""
    machines = (ProcessId(one), ProcessId(other))
    for stopped in machines:
        context.fleet.stop(stopped)
    context.fleet.run(seconds)
    for started in machines:
        context.fleet.start(started)


@when('{seconds:g} seconds pass')
def let_pass(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.fleet.run(seconds)


@when(
    'zone {zone:w} is cut off for {seconds:g} seconds and then {count:d} '
    'voters outside lose their disks while all restart',
)
def cut_and_wipe(
    context: Any,
    zone: str,
    seconds: float,
    count: int,
) -> None:
    """Wipe disks of voters before a cut has healed."""
    fleet = context.fleet
    fleet.apart = set(fleet.get_zone(zone))
    fleet.run(seconds)
    outside = [
        machine for machine in fleet.find_voting() if machine not in fleet.apart
    ]
    wipe_during(fleet, outside[:count], restarts_all=True)


@then('a leader accepts and holds all that was accepted')
def check_leader(context: Any) -> None:
    """Check the service once everything is back."""
    check_service(context.fleet)


@given('random losses with seeds from {first:d} to {last:d}')
def lose_at_random(context: Any, first: int, last: int) -> None:
    """Run random losses; each run checks itself."""
    context.fleets = [run_members(seed) for seed in range(first, last + 1)]


@then('each time a leader accepted and held all that was accepted')
def check_fleets(context: Any) -> None:
    """Check that the runs accepted payloads at all."""
    assert all(len(fleet.network.accepted) > 1 for fleet in context.fleets)
