"""Steps with hosts that fail, return and change the voters."""

from asyncio import get_running_loop, run, sleep
from random import Random
from typing import Any

from attrs import define, field
from behave import given, then, when

from hornbeamstair_core.clock import get_monotonic_time
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
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.membership.runner import MembershipController
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.member_fleet import make_fleet
from tests.support.random_members import (
    CATCH_UP_SECONDS,
    check_service,
    run_members,
    run_transfers,
    wipe_during,
)
from tests.support.voters import PayloadLog

SEED = 17
NON_VOTER = VoterId('non-voter/1')
OLD_LEADER = VoterId('x/1')
NEW_LEADER = VoterId('y/1')


@define(eq=False)
class NonVoterTransport(LocalTransport):
    """Transport of a non-voter that reaches only the new leader."""

    reported: set[VoterId] = field(factory=set)

    def send(self, envelope: Envelope) -> None:
        """Answer calls to the new leader; collect the receivers of reports."""
        if isinstance(envelope.message, MemberReport):
            self.reported.add(envelope.receiver)
        is_new_leader = envelope.receiver == NEW_LEADER
        if is_new_leader and isinstance(envelope.message, LeaderCall):
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


@given('hosts {layout} with a fault tolerance of {fault_tolerance:d}')
def start_hosts(context: Any, layout: str, fault_tolerance: int) -> None:
    """Start hosts and let them establish the voters."""
    context.fleet = make_fleet(SEED, layout, fault_tolerance)
    context.fleet.run(CATCH_UP_SECONDS)


@when('{one:w} and {other:w} are powered off for {seconds:g} seconds')
def turn_off(context: Any, one: str, other: str, seconds: float) -> None:
    """Power off two hosts for some time."""
    hosts = (ProcessId(one), ProcessId(other))
    for stopped in hosts:
        context.fleet.stop(stopped)
    context.fleet.run(seconds)
    for started in hosts:
        context.fleet.start(started)


@when('the hosts run for {seconds:g} seconds')
def run_hosts(context: Any, seconds: float) -> None:
    """Run the hosts."""
    context.fleet.run(seconds)


@when(
    'zone {zone:w} is partitioned for {seconds:g} seconds and then {count:d} '
    'voters outside lose their disks while all restart',
)
def partition_and_wipe(
    context: Any,
    zone: str,
    seconds: float,
    count: int,
) -> None:
    """Wipe disks of voters before the partition has healed."""
    fleet = context.fleet
    fleet.partitioned = set(fleet.get_zone(zone))
    fleet.run(seconds)
    outside = [
        host for host in fleet.find_voting() if host not in fleet.partitioned
    ]
    wipe_during(fleet, outside[:count], restarts_all=True)


@then('a leader accepts payloads and holds all accepted ones')
def check_leader(context: Any) -> None:
    """Heal all faults and check that the group works."""
    check_service(context.fleet)


@given('random failures with seeds from {first:d} to {last:d}')
def fail_at_random(context: Any, first: int, last: int) -> None:
    """Run random failures; each run checks itself."""
    context.fleets = [run_members(seed) for seed in range(first, last + 1)]


@given('random transfers with seeds from {first:d} to {last:d}')
def transfer_at_random(context: Any, first: int, last: int) -> None:
    """Run transfers around wiped disks; each run checks itself."""
    context.fleets = [run_transfers(seed) for seed in range(first, last + 1)]


@then(
    'in each run a leader accepted payloads and held all accepted ones',
)
def check_fleets(context: Any) -> None:
    """Check that each run accepted payloads."""
    assert all(len(fleet.network.accepted) > 1 for fleet in context.fleets)


@given(
    'a non-voter whose leader x has been unresponsive for {seconds:d} seconds',
)
def make_non_voter(context: Any, seconds: int) -> None:
    """Open the node of a non-voter that knows the old leader."""
    contact_at = get_monotonic_time() - seconds
    context.node = open_node(
        'test',
        NON_VOTER,
        MemoryLogStorage(),
        PayloadLog(),
        (OLD_LEADER, NEW_LEADER),
        Timing(),
        Random(SEED),
        contact_at,
    )
    context.node.voter.state.update_leader_contact(OLD_LEADER, contact_at)


@given('a process y that leads')
def make_new_leader(context: Any) -> None:
    """Connect the non-voter to a new leader."""
    context.transport = NonVoterTransport(NON_VOTER)


@when('the non-voter reports for {seconds:d} seconds')
def report_some_time(context: Any, seconds: int) -> None:
    """Run the membership control loop of the non-voter."""
    run(_report(context, seconds))


@then('y has received a report')
def check_reported(context: Any) -> None:
    """Check that a report was sent to the new leader."""
    assert NEW_LEADER in context.transport.reported, context.transport.reported


async def _report(context: Any, seconds: int) -> None:
    metrics = Metrics()
    transport = context.transport
    targets = LeaderTargets((NEW_LEADER,))
    channel = LeaderChannel(transport, targets, metrics, get_monotonic_time)
    group = VotingGroup('test', context.node, transport, get_monotonic_time)
    channel.service = RequestService(
        group,
        (),
        RequestCodec((), ()),
        bool,
    )
    channel.start()
    controller = MembershipController(
        group,
        channel,
        ZoneName('z'),
        get_monotonic_time,
        MembershipPlanner(),
    )
    controller.start()
    await sleep(seconds)
    controller.stop()
