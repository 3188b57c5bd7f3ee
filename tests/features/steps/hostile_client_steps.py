"""Steps that send crowds of hostile clients to real processes."""

from asyncio import sleep, wait_for
from typing import Any

from behave import given, then, when

from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.units import MIB
from tests.support.hostile_clients import CROWDS, Crowd
from tests.support.node import (
    ANSWER_SECONDS,
    HTTP_OK,
    POLL_SECONDS,
    Node,
    count_descriptors,
    get_peak_memory,
    make_manifest,
    request_status,
)
from tests.support.world import World


@given('a process of the platform with the role {role}')
def start_node(context: Any, role: str) -> None:
    """Start a process of the platform adapter alone."""
    node = Node(role, context.world.folder / role)
    context.world.stops.append(node.kill)
    context.world.run(node.start())
    context.node = node


@given('a manifest of {count:d} routes is in force')
def put_manifest(context: Any, count: int) -> None:
    """Put a manifest of many routes at the control process."""
    manifest = make_manifest(count)

    async def put() -> None:  # noqa: WPS430
        while await request_status(context.node.address, manifest) != HTTP_OK:
            await sleep(POLL_SECONDS)

    context.world.run(wait_for(put(), ANSWER_SECONDS))


@when('a crowd sends {name}')
def send_crowd(context: Any, name: str) -> None:
    """Send all that a crowd sends; its connections stay open."""
    pid, address = _find_process(context)
    context.pid = pid
    world: World = context.world
    assert world.run(request_status(address))
    context.memory_before = get_peak_memory(context.pid)
    crowd = Crowd(address, CROWDS[name])
    world.stops.append(crowd.close)
    world.run(crowd.send())


@then('the process answers an ordinary request')
def check_answer(context: Any) -> None:
    """Check that the process lives and answers."""
    _, address = _find_process(context)
    status = context.world.run(request_status(address))
    grown = get_peak_memory(context.pid) - context.memory_before
    count = count_descriptors(context.pid)
    context.grown = grown
    context.descriptors = count
    print(f'grown by {grown / MIB:.0f} MiB, {count} descriptors')
    assert status, 'no answer'


@then('its memory has grown by less than {limit:d} MiB')
def check_memory(context: Any, limit: int) -> None:
    """Check the highest resident memory since the crowd came."""
    assert context.grown < limit * MIB, context.grown / MIB


@then('it has less than {limit:d} open descriptors')
def check_descriptors(context: Any, limit: int) -> None:
    """Check the open descriptors while the crowd stays open."""
    assert context.descriptors < limit, context.descriptors


def _find_process(context: Any) -> tuple[int, SocketAddress]:
    if hasattr(context, 'node'):
        return context.node.process.pid, context.node.address
    daemon = context.world.get_daemon()
    assert daemon.process is not None
    return daemon.process.pid, SocketAddress('127.0.0.1', daemon.callers_port)
