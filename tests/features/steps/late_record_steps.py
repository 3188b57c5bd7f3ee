"""Steps with records that a former holder proposed."""

from typing import Any

from behave import given, then, when

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_fleet.moves.messages import Move, MoveBegun
from hornbeamstair_fleet.moves.table import MoveTable
from hornbeamstair_fleet.waves.messages import (
    MaintenanceBegun,
    MaintenanceDone,
    Wave,
    WaveDeclared,
)
from hornbeamstair_fleet.waves.table import HostStep, WaveTable


@given('a table of a wave of {count:d} hosts with at most {limit:d} down')
def _declare(context: Any, count: int, limit: int) -> None:
    hosts = tuple(HostId(f'm{number}') for number in range(count))
    context.late_table = WaveTable()
    context.late_table.apply(WaveDeclared(Wave(1, hosts, 0, 60, limit)))


@when('the maintenance of hosts "{hosts}" is begun')
def _begin(context: Any, hosts: str) -> None:
    for host in hosts.split():
        context.late_table.apply(
            MaintenanceBegun(1, HostId(host), WorkerId(''))
        )


@when('the maintenance of host {host} is over')
def _end(context: Any, host: str) -> None:
    done = MaintenanceDone(1, HostId(host), is_taken=True, is_over=True)
    context.late_table.apply(done)


@when('the order about host {host} is {outcome}')
def _answer(context: Any, host: str, outcome: str) -> None:
    is_taken = outcome == 'taken'
    done = MaintenanceDone(1, HostId(host), is_taken=is_taken, is_over=False)
    context.late_table.apply(done)


@then('{count:d} hosts of the table wait')
def _check_waiting(context: Any, count: int) -> None:
    found = context.late_table.waves[1].get_hosts(HostStep.waiting)
    assert len(found) == count, found


@then('hosts "{hosts}" may be down')
def _check_down(context: Any, hosts: str) -> None:
    found = context.late_table.waves[1].get_down()
    assert found == hosts.split(), found


@then('no host of the table may be down')
def _check_none_down(context: Any) -> None:
    found = context.late_table.waves[1].get_down()
    assert not found, found


@given('a table in which host {host} moves to pool {pool}')
def _begin_move(context: Any, host: str, pool: str) -> None:
    context.late_table = MoveTable()
    _apply_move(context, host, pool)


@when('a record says that host {host} moves to pool {pool}')
def _apply_move(context: Any, host: str, pool: str) -> None:
    move = Move(HostId(host), PoolName('o'), PoolName(pool), WorkerId(''))
    context.late_table.apply(MoveBegun(move))


@then('host {host} moves to pool {pool} in the table')
def _check_move(context: Any, host: str, pool: str) -> None:
    found = context.late_table.begun[HostId(host)].pool
    assert found == pool, found
