"""Steps with late records that a previous leader proposed."""

from typing import Any

from behave import given, then, when

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_fleet.moves.messages import Move, MoveStarted
from hornbeamstair_fleet.moves.table import MoveTable
from hornbeamstair_fleet.waves.messages import (
    MaintenanceStarted,
    MaintenanceUpdated,
    Wave,
    WaveDeclared,
)
from hornbeamstair_fleet.waves.table import HostStep, WaveTable


@given('a table of a wave of {count:d} hosts with at most {limit:d} down')
def _declare_wave(context: Any, count: int, limit: int) -> None:
    hosts = tuple(HostId(f'm{number}') for number in range(count))
    context.fleet_table = WaveTable()
    context.fleet_table.apply(WaveDeclared(Wave(1, hosts, 0, 60, limit)))


@when('the maintenance of hosts "{hosts}" is started')
def _start_maintenance(context: Any, hosts: str) -> None:
    for host in hosts.split():
        context.fleet_table.apply(
            MaintenanceStarted(1, HostId(host), WorkerId(''))
        )


@when('the maintenance of host {host} is finished')
def _end_maintenance(context: Any, host: str) -> None:
    update = MaintenanceUpdated(1, HostId(host), is_taken=True, is_over=True)
    context.fleet_table.apply(update)


@when('the order about host {host} is {outcome}')
def _apply_outcome(context: Any, host: str, outcome: str) -> None:
    is_taken = outcome == 'accepted'
    update = MaintenanceUpdated(
        1, HostId(host), is_taken=is_taken, is_over=False
    )
    context.fleet_table.apply(update)


@then('{count:d} hosts of the table wait')
def _check_waiting(context: Any, count: int) -> None:
    found = context.fleet_table.waves[1].get_hosts(HostStep.waiting)
    assert len(found) == count, found


@then('hosts "{hosts}" may be down')
def _check_down(context: Any, hosts: str) -> None:
    found = context.fleet_table.waves[1].get_down_hosts()
    assert found == hosts.split(), found


@then('no host of the table may be down')
def _check_none_down(context: Any) -> None:
    found = context.fleet_table.waves[1].get_down_hosts()
    assert not found, found


@given('a table in which host {host} moves to pool {pool}')
def _start_move(context: Any, host: str, pool: str) -> None:
    context.fleet_table = MoveTable()
    _apply_move(context, host, pool)


@when('a record says that host {host} moves to pool {pool}')
def _apply_move(context: Any, host: str, pool: str) -> None:
    move = Move(HostId(host), PoolName('o'), PoolName(pool), WorkerId(''))
    context.fleet_table.apply(MoveStarted(move))


@then('host {host} moves to pool {pool} in the table')
def _check_move(context: Any, host: str, pool: str) -> None:
    found = context.fleet_table.in_progress[HostId(host)].pool
    assert found == pool, found
