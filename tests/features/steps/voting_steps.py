"""Steps with voters on a simulated network."""

from asyncio import gather
from random import Random
from time import monotonic
from typing import Any

from attrs import define
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_core.units import KIB, MIB
from hornbeamstair_replicas.groups.node import LogNode, open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.messages import TransferRequest
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.random_voters import (
    VoterMachine,
    check_final_state,
    check_payloads,
    get_settings,
    run_random,
    run_random_disks,
)
from tests.support.voters import STEP_SECONDS, PayloadLog, VoterNetwork

NEW_VOTER = VoterId('new')
SEED = 10
CHUNK_BYTES = 256 * KIB


@given('{count:d} voters with seed {seed:d}')
def start_voters(context: Any, count: int, seed: int) -> None:
    """Start voters and wait for a leader."""
    voters = tuple(map(VoterId, 'abcde'[:count]))
    network = VoterNetwork(Random(seed), voters)
    for voter in voters:
        network.start(voter)
    network.run(3)
    context.network = network
    context.first_leader = network.find_leaders()[0]
    context.first_term = _get_term(network, context.first_leader)
    context.count = 0


@given('{count:d} voters with seed {seed:d} that write no snapshot')
def start_without_snapshots(context: Any, count: int, seed: int) -> None:
    """Start voters that never reach the snapshot threshold."""
    start_compacting(context, count, seed, 100000)


@given(
    '{count:d} voters with seed {seed:d} that write a snapshot every '
    '{entries:d} entries',
)
def start_compacting(
    context: Any,
    count: int,
    seed: int,
    entries: int,
) -> None:
    """Start voters with a snapshot threshold in entries."""
    voters = tuple(map(VoterId, 'abcde'[:count]))
    network = VoterNetwork(
        Random(seed),
        voters,
        # No delay, since a connection delivers messages in order.
        max_delay=0,
        snapshot_entries=entries,
    )
    for voter in voters:
        network.start(voter)
    network.run(3)
    context.network = network
    context.first_leader = network.find_leaders()[0]
    context.count = 0


@given('the links carry messages of at most {size:d} MiB')
def limit_messages(context: Any, size: int) -> None:
    """Drop larger messages, as a connection that closes does."""
    context.network.max_message_bytes = size * MIB


@when(
    'a follower is partitioned while {count:d} payloads are proposed in '
    '{seconds:d} seconds',
)
def isolate_under_load(context: Any, count: int, seconds: int) -> None:
    """Isolate a follower under load."""
    network = context.network
    leader = network.find_leaders()[0]
    context.follower = next(voter for voter in network.nodes if voter != leader)
    network.isolate(context.follower)
    network.sent_entries.clear()
    _propose_over(network, count, seconds)


@then('it was sent fewer than {limit:d} entries')
def check_sent(context: Any, limit: int) -> None:
    """Check how many entries were sent to the follower."""
    sent = context.network.sent_entries[context.follower]
    assert sent < limit, sent


@when(
    'the partition heals and {count:d} payloads are proposed in '
    '{seconds:d} seconds',
)
def heal_follower(context: Any, count: int, seconds: int) -> None:
    """Reconnect the follower under load."""
    network = context.network
    network.dropped_links.clear()
    network.sent_entries.clear()
    _propose_over(network, count, seconds)
    network.run(1)


@then('it holds all payloads and was sent fewer than {limit:d} entries since')
def check_caught_up(context: Any, limit: int) -> None:
    """Check that the follower has caught up."""
    network = context.network
    check_sent(context, limit)
    held = network.get_payloads(context.follower)
    assert held == network.longest_log, (len(held), len(network.longest_log))


def _propose_over(network: VoterNetwork, count: int, seconds: float) -> None:
    steps = round(seconds / STEP_SECONDS)
    for step in range(steps):
        due = count * (step + 1) // steps - count * step // steps
        for number in range(due):
            assert network.propose(f'{step}.{number}'.encode())
        network.run(STEP_SECONDS / 2)


@when('{count:d} payloads are proposed')
def propose(context: Any, count: int) -> None:
    """Propose payloads and wait until they can be committed."""
    network: VoterNetwork = context.network
    context.accepted_before = len(network.accepted)
    for _ in range(count):
        context.count += 1
        network.propose(str(context.count).encode())
    network.run(2)


@when('{count:d} payloads of {size:d} bytes are proposed')
def propose_large(context: Any, count: int, size: int) -> None:
    """Propose large payloads and wait until they can be committed."""
    network: VoterNetwork = context.network
    for _ in range(count):
        context.count += 1
        network.propose(str(context.count).encode().ljust(size))
        network.run(STEP_SECONDS)
    network.run(1)
    assert len(network.accepted) == count, len(network.accepted)


@then('at most {size:d} MiB are in flight to it in any of {seconds:d} seconds')
def check_in_flight(context: Any, size: int, seconds: int) -> None:
    """Check the unacknowledged entries after each step."""
    network: VoterNetwork = context.network
    role = network.get_leader_role(network.find_leaders()[0])
    progress = role.replicator.peers[NEW_VOTER]
    for _ in range(round(seconds / STEP_SECONDS)):
        network.run(STEP_SECONDS / 2)
        in_flight = sum(
            len(entry.payload)
            for entry in role.state.log.entries
            if progress.window_index < entry.index < progress.next_index
        )
        assert in_flight <= size * MIB, in_flight


@given('a voter that leads alone')
def start_alone(context: Any) -> None:
    """Open a log of one voter."""
    context.node = _open(context.world.folder / 'log', PayloadLog())


@when(
    'a payload of {large:d} bytes and one of {small:d} bytes are proposed',
)
def propose_sizes(context: Any, large: int, small: int) -> None:
    """Propose payloads of two sizes in one batch."""
    context.outcomes = context.world.run(
        _propose_all(context.node, (bytes(large), bytes(small))),
    )


@then('the first is refused with code {code:d} and the second is accepted')
def check_sizes(context: Any, code: int) -> None:
    """Check the outcome of each payload."""
    first, second = context.outcomes
    assert first.error.number == code, first
    assert second.is_ok(), second


@then('{count:d} of them are accepted')
def check_accepted(context: Any, count: int) -> None:
    """Check how many of the last payloads were accepted."""
    accepted = len(context.network.accepted) - context.accepted_before
    assert accepted == count, accepted


@when('the leader is isolated for {seconds:g} seconds')
def isolate_leader(context: Any, seconds: float) -> None:
    """Drop all messages from and to the leader."""
    context.network.isolate(context.first_leader)
    context.network.run(seconds)


@then(
    'another voter leads in a newer term and the old leader has stepped down',
)
def check_replaced(context: Any) -> None:
    """Check that exactly one other voter leads."""
    leaders = context.network.find_leaders()
    assert len(leaders) == 1, leaders
    assert leaders[0] != context.first_leader
    assert _get_term(context.network, leaders[0]) > context.first_term


@when('the partition is healed for {seconds:g} seconds')
def heal(context: Any, seconds: float) -> None:
    """Restore all links."""
    context.network.dropped_links.clear()
    context.network.run(seconds)


@then('every voter holds every accepted payload once, in the same order')
def check_all(context: Any) -> None:
    """Heal all faults and check each voter."""
    check_final_state(context.network)


@then(
    'the running voters hold every accepted payload once, in the same order',
)
def check_running(context: Any) -> None:
    """Check each running voter."""
    context.network.run(3)
    for voter in context.network.nodes:
        check_payloads(context.network, voter)


@when(
    "the leader's messages to one follower are dropped for {seconds:g} seconds",
)
def drop_one_way(context: Any, seconds: float) -> None:
    """Drop messages in one direction of one link."""
    followers = _get_followers(context)
    context.network.drop_link(context.first_leader, followers[0])
    context.network.run(seconds)


@then('the same voter leads in the same term')
def check_same_leader(context: Any) -> None:
    """Check that the leader and its term are unchanged."""
    leaders = context.network.find_leaders()
    assert leaders == [context.first_leader], leaders
    term = _get_term(context.network, context.first_leader)
    assert term == context.first_term, term


@when('a follower loses its disk and is replaced by a new voter')
def replace_follower(context: Any) -> None:
    """Add a voter with a new disk, then remove the failed one."""
    network: VoterNetwork = context.network
    lost = _get_followers(context)[0]
    network.nodes.pop(lost)
    network.start(NEW_VOTER, is_joining=True)
    assert network.change(lambda role: role.add_voter(NEW_VOTER, network.now))
    network.run(2)
    assert network.change(lambda role: role.remove_voter(lost, network.now))
    network.run(1)


@when('another follower fails right after that')
def stop_another(context: Any) -> None:
    """Stop a voter that is neither the leader nor the new one."""
    followers = _get_followers(context)
    context.network.nodes.pop(
        next(voter for voter in followers if voter != NEW_VOTER),
    )


@when('a follower restarts with a wiped disk and a new voter ID')
def wipe_follower(context: Any) -> None:
    """Replace a follower by a process that was not added as a voter."""
    network: VoterNetwork = context.network
    context.wiped = _get_followers(context)[0]
    network.nodes.pop(context.wiped)
    network.start(NEW_VOTER, is_joining=True)
    network.run(1)


@when('the other follower is isolated for {seconds:g} seconds')
def isolate_follower(context: Any, seconds: float) -> None:
    """Isolate the follower that still has its disk."""
    followers = [
        voter for voter in _get_followers(context) if voter != NEW_VOTER
    ]
    context.network.isolate(followers[0])
    context.network.run(seconds)


@when("the leader's disk fails to sync and {count:d} payloads are proposed")
def refuse_sync(context: Any, count: int) -> None:
    """Make the syncs of the leader fail, then propose."""
    context.network.storages[context.first_leader].fails_sync = True
    propose(context, count)


@when(
    'each disk but the last refuses writes for {seconds:d} seconds while '
    '{count:d} payloads are proposed',
)
def refuse_writes(context: Any, seconds: int, count: int) -> None:
    """Have the disks of all voters but one refuse writes in turn."""
    for voter in context.network.initial_voters[:-1]:
        _refuse_writes(context, voter, seconds, count)


@when(
    "a follower's disk refuses writes for {seconds:d} seconds while "
    '{count:d} payloads are proposed',
)
def refuse_writes_of_one(context: Any, seconds: int, count: int) -> None:
    """Have the disk of the last follower refuse writes."""
    voter = _get_followers(context)[-1]
    _refuse_writes(context, voter, seconds, count)
    assert _get_followers(context)[0] != voter


def _refuse_writes(
    context: Any, voter: VoterId, seconds: int, count: int
) -> None:
    network: VoterNetwork = context.network
    network.set_disk_fails(voter, fails=True)
    propose(context, count)
    network.run(seconds)
    network.set_disk_fails(voter, fails=False)
    network.run(seconds)


@then('the leader has stopped')
def check_stopped(context: Any) -> None:
    """Check that the voter with the failed disk has stopped."""
    assert context.first_leader not in context.network.nodes


@when('the leadership is transferred to a follower')
def transfer_leadership(context: Any) -> None:
    """Request a leadership transfer."""
    context.target = _get_followers(context)[0]
    context.network.transfer(context.first_leader, context.target)


@when('the leadership is transferred while all transfer requests are lost')
def lose_transfer(context: Any) -> None:
    """Request a leadership transfer that no other voter hears of."""
    context.network.lost_kinds = (TransferRequest,)
    transfer_leadership(context)


@when("the leader's disk refuses writes for {seconds:g} seconds")
def refuse_briefly(context: Any, seconds: float) -> None:
    """Have the disk refuse one write and accept the next."""
    network = context.network
    context.refused_term = _get_term(network, context.first_leader)
    network.set_disk_fails(context.first_leader, fails=True)
    network.propose(b'refused', context.first_leader)
    network.run(seconds)
    network.set_disk_fails(context.first_leader, fails=False)


@then('some voter may serve reads within {seconds:g} seconds')
def check_serves(context: Any, seconds: float) -> None:
    """Check that a leader with a lease is left."""
    network = context.network
    network.run(seconds)
    assert any(
        network.get_leader_role(leader).can_read(network.now)
        for leader in network.find_leaders()
    )


@then('no voter leads in the term of that refusal')
def check_later_term(context: Any) -> None:
    """Check the terms of the leaders."""
    network = context.network
    for leader in network.find_leaders():
        assert _get_term(network, leader) > context.refused_term


@then('that follower leads within {seconds:g} seconds')
def check_transferred(context: Any, seconds: float) -> None:
    """Check that the target leads."""
    context.network.run(seconds)
    assert context.network.find_leaders() == [context.target]


@given('3 voters with a snapshot of {chunks:d} chunks')
def start_large(context: Any, chunks: int) -> None:
    """Start voters and commit payloads of one chunk each."""
    voters = tuple(map(VoterId, 'abc'))
    context.network = VoterNetwork(
        Random(SEED),
        voters,
        max_delay=0,
        snapshot_entries=chunks,
    )
    for voter in voters:
        context.network.start(voter)
    context.network.run(3)
    for number in range(chunks):
        context.network.propose(str(number).encode().ljust(CHUNK_BYTES))
        context.network.run(STEP_SECONDS)
    context.network.run(1)


@when('the leader replicates to a new learner')
def replicate_to_new(context: Any) -> None:
    """Add a learner with an empty disk."""
    network: VoterNetwork = context.network
    network.start(NEW_VOTER, is_joining=True)
    leader = network.find_leaders()[0]
    role = network.get_leader_role(leader)
    role.set_learners((NEW_VOTER,), network.now)
    network.flush(leader)


@when("the leader's event loop runs only every {seconds:g} seconds")
def slow_leader(context: Any, seconds: float) -> None:
    """Slow down the leader's event loop."""
    network: VoterNetwork = context.network
    network.loop_steps[network.find_leaders()[0]] = round(
        seconds / STEP_SECONDS,
    )


@when('{count:d} payloads are proposed in {seconds:g} seconds')
def propose_fast(context: Any, count: int, seconds: float) -> None:
    """Propose payloads at an even rate."""
    _propose_over(context.network, count, seconds)


@then('the new learner has caught up')
def check_ready(context: Any) -> None:
    """Check that the leader would make the new learner a voter."""
    network: VoterNetwork = context.network
    role = network.get_leader_role(network.find_leaders()[0])
    ready = role.get_caught_up_learners(network.now)
    progress = role.replicator.peers[NEW_VOTER]
    assert ready == [NEW_VOTER], (progress, role.state.commit_index)


@then('it was sent no snapshot')
def check_no_chunk(context: Any) -> None:
    """Check that the new learner was sent entries only."""
    assert not context.network.sent_chunks[NEW_VOTER], (
        context.network.sent_chunks
    )


@then('it holds all payloads in less than {trips:d} round trips')
def check_trips(context: Any, trips: int) -> None:
    """Run for one round trip less and check the payloads."""
    network: VoterNetwork = context.network
    network.run(2 * STEP_SECONDS * (trips - 1))
    assert network.get_payloads(NEW_VOTER) == network.longest_log


@when('a voter is added and another removed at once')
def change_twice(context: Any) -> None:
    """Start a second change of the voters during the first."""
    network: VoterNetwork = context.network
    network.start(NEW_VOTER, is_joining=True)
    role = network.get_leader_role(context.first_leader)
    assert role.add_voter(NEW_VOTER, network.now).is_ok()
    removed = _get_followers(context)[0]
    context.second = role.remove_voter(removed, network.now)


@then('the second change is refused with code {code:d}')
def check_second(context: Any, code: int) -> None:
    """Check the refusal of the second change."""
    assert context.second.error.number == code


@when('the leader is partitioned from the others and adds a voter')
def add_in_partition(context: Any) -> None:
    """Let the leader append a change that no other voter receives."""
    network: VoterNetwork = context.network
    network.start(NEW_VOTER, is_joining=True)
    network.run(1)
    _partition(network, {context.first_leader, NEW_VOTER})
    assert network.change(lambda role: role.add_voter(NEW_VOTER, network.now))
    network.run(0.2)
    state = network.nodes[context.first_leader].voter.state
    assert NEW_VOTER in state.log.get_voters()


@when(
    'a new leader removes the old leader before it has committed an entry',
)
def remove_early(context: Any) -> None:
    """Isolate the new leader with one voter and remove the old leader."""
    network: VoterNetwork = context.network
    leader = context.first_leader
    while leader == context.first_leader:
        network.run(STEP_SECONDS)
        leader = (network.find_leaders() or [leader])[0]
    others = set(network.initial_voters) - {context.first_leader, leader}
    context.rest = min(others)
    _partition(network, {leader, *others} - {context.rest})
    network.change(
        lambda role: role.remove_voter(context.first_leader, network.now),
    )


@when(
    'only the old leader, the new voter and one other voter can communicate',
)
def connect_rest(context: Any) -> None:
    """Connect only the voters without the newest committed entries."""
    network: VoterNetwork = context.network
    network.dropped_links.clear()
    _partition(network, {context.first_leader, NEW_VOTER, context.rest})
    network.run(5)


def _partition(network: VoterNetwork, group: set[VoterId]) -> None:
    for one in group:
        for other in set(network.nodes) - group:
            network.drop_link(one, other)
            network.drop_link(other, one)


@given('the random run with seed {seed:d}')
def run_one(context: Any, seed: int) -> None:
    """Run one random simulation."""
    context.runs = [run_random(seed)]


@given('random runs with seeds from {first:d} to {last:d}')
def run_many(context: Any, first: int, last: int) -> None:
    """Run random simulations; each checks its final state."""
    context.runs = [run_random(seed) for seed in range(first, last + 1)]


@given(
    'random runs with failing disks and seeds from {first:d} to {last:d}',
)
def run_many_disks(context: Any, first: int, last: int) -> None:
    """Run random simulations in which disks refuse writes."""
    context.runs = [run_random_disks(seed) for seed in range(first, last + 1)]


@then(
    'each run ended with every accepted payload once, in the same order',
)
def check_runs(context: Any) -> None:
    """Check that each run accepted payloads."""
    assert all(len(network.accepted) > 1 for network in context.runs)


@then(
    'a hypothesis run of {examples:d} examples of {steps:d} steps finds '
    'no difference',
)
def run_hypothesis(context: Any, examples: int, steps: int) -> None:
    """Run the hypothesis state machine with a fixed seed."""
    run_state_machine_as_test(
        VoterMachine,
        settings=get_settings(examples, steps),
    )


@given('a log on disk with {count:d} entries')
def write_log(context: Any, count: int) -> None:
    """Commit entries in batches to a log on disk."""
    context.world.run(_commit(context.world.folder / 'log', count))


@when('the log is opened again')
def open_log(context: Any) -> None:
    """Open the log like a restarted process."""
    context.state_machine = PayloadCounter()
    context.node = _open(context.world.folder / 'log', context.state_machine)


@then('at most {count:d} entries are read after the snapshot')
def check_tail(context: Any, count: int) -> None:
    """Check the number of entries after the snapshot."""
    assert len(context.node.voter.state.log.entries) <= count


@then('the state machine has applied {count:d} payloads')
def check_applied(context: Any, count: int) -> None:
    """Apply the remaining entries and check the state."""
    context.node.voter.tick(monotonic())
    context.node.flush()
    assert context.state_machine.count == count, context.state_machine.count


@define
class PayloadCounter(PayloadLog):
    """State machine that only counts payloads."""

    count: int = 0

    def apply(self, index: int, payload: bytes) -> object:
        """Count a payload."""
        self.count += 1
        return self.count

    def get_snapshot(self) -> bytes:
        """Encode the count."""
        return str(self.count).encode()

    def restore(self, state: bytes) -> None:
        """Restore the count."""
        self.count = int(state)


def _open(folder: Any, state_machine: PayloadLog) -> LogNode:
    own = VoterId('a')
    return open_node(
        'test',
        own,
        FileLogStorage(folder),
        state_machine,
        (own,),
        Timing(),
        Random(1),
        monotonic(),
    )


async def _commit(folder: Any, count: int) -> None:
    node = _open(folder, PayloadCounter())
    group = VotingGroup('test', node, LocalTransport(VoterId('a')), monotonic)
    group.start()
    for _ in range(count // 1000):
        answers = await gather(*(group.propose(b'x') for _ in range(1000)))
        assert all(answer.is_ok() for answer in answers)
    await group.stop()


async def _propose_all(node: LogNode, payloads: tuple[bytes, ...]) -> Any:
    group = VotingGroup('test', node, LocalTransport(VoterId('a')), monotonic)
    group.start()
    outcomes = await gather(*map(group.propose, payloads))
    await group.stop()
    return outcomes


def _get_followers(context: Any) -> list[VoterId]:
    leaders = context.network.find_leaders()
    return [voter for voter in context.network.nodes if voter not in leaders]


def _get_term(network: VoterNetwork, voter: VoterId) -> int:
    return network.nodes[voter].voter.state.term
