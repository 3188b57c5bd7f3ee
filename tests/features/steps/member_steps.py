"""Steps with machines whose voters come and go."""

from asyncio import get_running_loop, run, sleep
from random import Random
from typing import Any

from attrs import define, field
from behave import given, then, when

from hornbeamstair_core.clock import get_steady_time
from hornbeamstair_core.ids import ProcessId, ZoneName
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.calls.codec import RequestCodec
from hornbeamstair_replicas.calls.endpoints.channel import LeaderChannel
from hornbeamstair_replicas.calls.endpoints.client import RequestService
from hornbeamstair_replicas.calls.messages import (
    LeaderAnswer,
    LeaderCall,
    MemberReport,
)
from hornbeamstair_replicas.calls.targets import LeaderTargets
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.membership.groups import MembershipKeeper
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.member_fleet import make_fleet
from tests.support.random_members import (
    CATCH_UP_SECONDS,
    check_service,
    run_handovers,
    run_members,
    wipe_during,
)
from tests.support.voters import Journal

SEED = 17
SPARE = VoterId('spare/1')
OLD_LEADER = VoterId('x/1')
NEW_LEADER = VoterId('y/1')


@define(eq=False)
class SpareTransport(LocalTransport):
    """Transport of a spare to a new leader; the old one is gone."""

    reported: set[VoterId] = field(factory=set)

    def send(self, envelope: Envelope) -> None:
        """Answer a call to the new leader; note whom the spare reports to."""
        if isinstance(envelope.message, MemberReport):
            self.reported.add(envelope.receiver)
        is_heard = envelope.receiver == NEW_LEADER
        if is_heard and isinstance(envelope.message, LeaderCall):
            answer = LeaderAnswer(
                envelope.message.number,
                b'',
                is_leader=True,
                leader=NEW_LEADER,
                voters=(NEW_LEADER,),
            )
            get_running_loop().call_soon(self._deliver_answer, answer)

    def _deliver_answer(self, answer: LeaderAnswer) -> None:
        self.receivers['calls'](NEW_LEADER, answer)


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


@when('the machines run for {seconds:g} seconds')
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


@given('random handovers with seeds from {first:d} to {last:d}')
def hand_over_at_random(context: Any, first: int, last: int) -> None:
    """Run handovers around wiped disks; each run checks itself."""
    context.fleets = [run_handovers(seed) for seed in range(first, last + 1)]


@then('each time a leader accepted and held all that was accepted')
def check_fleets(context: Any) -> None:
    """Check that the runs accepted payloads at all."""
    assert all(len(fleet.network.accepted) > 1 for fleet in context.fleets)


@given('a spare whose leader x has been silent for {seconds:d} seconds')
def make_spare(context: Any, seconds: int) -> None:
    """Open the node of a spare that was fed by a leader."""
    heard_at = get_steady_time() - seconds
    context.node = open_node(
        'test',
        SPARE,
        MemoryLogStorage(),
        Journal(),
        (OLD_LEADER, NEW_LEADER),
        Timing(),
        Random(SEED),
        heard_at,
    )
    context.node.voter.state.update_leader_contact(OLD_LEADER, heard_at)


@given('a process y that leads')
def make_new_leader(context: Any) -> None:
    """Join the spare to a new leader."""
    context.transport = SpareTransport(SPARE)


@when('the spare reports for {seconds:d} seconds')
def report_some_time(context: Any, seconds: int) -> None:
    """Let the keeper of the spare run."""
    run(_report(context, seconds))


@then('y has heard of it')
def check_reported(context: Any) -> None:
    """Check that the new leader got a report."""
    assert NEW_LEADER in context.transport.reported, context.transport.reported


async def _report(context: Any, seconds: int) -> None:
    metrics = Metrics()
    transport = context.transport
    targets = LeaderTargets((NEW_LEADER,))
    channel = LeaderChannel(transport, targets, metrics, get_steady_time)
    group = VotingGroup('test', context.node, transport, get_steady_time)
    channel.service = RequestService(
        group,
        (),
        RequestCodec((), ()),
        bool,
    )
    channel.start()
    keeper = MembershipKeeper(
        group,
        channel,
        ZoneName('z'),
        get_steady_time,
        MembershipPlanner(),
    )
    keeper.start()
    await sleep(seconds)
    keeper.stop()
