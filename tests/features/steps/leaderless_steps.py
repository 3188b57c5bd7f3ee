"""Steps for a voter without a leader, or with a disk that refuses writes."""

from asyncio import Runner, sleep
from random import Random
from typing import Any

from behave import given, then, when

from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.messages import AppendRequest
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.logs import read_log
from tests.support.simulated_loop import SimulatedClock, SimulatedLoop
from tests.support.voters import PayloadLog

OWN = VoterId('a')
PEERS = VoterId('b'), VoterId('c')


@given('a voter whose 2 peers never answer')
def open_isolated(context: Any) -> None:
    """Start one of three voters."""
    _open(context, (OWN, *PEERS))


@given('a voter without peers')
def open_alone(context: Any) -> None:
    """Start a sole voter."""
    _open(context, (OWN,))


@when('a leader sends it one heartbeat')
def receive_heartbeat(context: Any) -> None:
    """Receive a heartbeat of the leader of the first term."""
    heartbeat = AppendRequest(1, 0, 0, (), 0, 0)
    context.runner.run(_receive(context.group, heartbeat))


@when('{seconds:d} simulated seconds pass')
def pass_time(context: Any, seconds: int) -> None:
    """Run the timers of the voter."""
    context.runner.run(sleep(seconds))


@when('its disk refuses writes for {seconds:d} seconds')
def refuse_writes(context: Any, seconds: int) -> None:
    """Propose a payload that the disk refuses."""
    context.storage.fails_sync = True
    refused = context.runner.run(context.group.propose(b'x'))
    assert refused.is_error()
    context.runner.run(sleep(seconds))
    context.storage.fails_sync = False


@then(
    'the log has {count:d} {name} events, the last with {low:d} to {high:d} '
    'seconds',
)
def check_events(
    context: Any, count: int, name: str, low: int, high: int
) -> None:
    """Compare the times that the events of a kind report."""
    times = [
        line.get('unknown_ms', line.get('failed_ms'))
        for line in read_log(context)
        if line.get('event') == name
    ]
    assert len(times) == count, times
    assert low * 1000 <= times[-1] <= high * 1000, times


@then('the log has no {name} event')
def check_no_event(context: Any, name: str) -> None:
    """Look for events of a kind."""
    assert name not in {line.get('event') for line in read_log(context)}


def _open(context: Any, voters: tuple[VoterId, ...]) -> None:
    clock = SimulatedClock()
    context.storage = MemoryLogStorage()
    node = open_node(
        'test',
        OWN,
        context.storage,
        PayloadLog(),
        voters,
        Timing(),
        Random(1),
        clock.now,
    )
    context.group = VotingGroup(
        'test', node, LocalTransport(OWN), clock.get_time
    )
    context.runner = Runner(loop_factory=lambda: SimulatedLoop(clock))
    context.add_cleanup(context.runner.close)
    context.runner.run(_start(context.group))


async def _receive(group: VotingGroup, message: AppendRequest) -> None:
    group.transport.receivers['test'](PEERS[0], message)


async def _start(group: VotingGroup) -> None:
    group.start()
