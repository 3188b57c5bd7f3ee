"""Steps with voters on in-memory links."""

from asyncio import gather
from random import Random
from time import monotonic
from typing import Any

from attrs import define
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_core.units import KIB
from hornbeamstair_replicas.groups.node import LogNode, open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.random_voters import (
    VoterMachine,
    check_end,
    check_journal,
    get_settings,
    run_random,
)
from tests.support.voters import STEP, Journal, VoterNetwork

NEW_VOTER = VoterId('new')
SEED = 10
PART_BYTES = 256 * KIB


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


@given('{count:d} voters with seed {seed:d} that keep their whole log')
def start_long(context: Any, count: int, seed: int) -> None:
    """Start voters that write no snapshot."""
    start_compacting(context, count, seed, 100000)


@given(
    '{count:d} voters with seed {seed:d} that write a snapshot each '
    '{entries:d} entries',
)
def start_compacting(
    context: Any,
    count: int,
    seed: int,
    entries: int,
) -> None:
    """Start voters that write few snapshots."""
    voters = tuple(map(VoterId, 'abcde'[:count]))
    network = VoterNetwork(
        Random(seed),
        voters,
        # A connection keeps the order of its messages.
        max_delay=0,
        snapshot_entries=entries,
    )
    for voter in voters:
        network.start(voter)
    network.run(3)
    context.network = network


@when(
    'a follower is cut off while {count:d} payloads are proposed in '
    '{seconds:d} seconds',
)
def cut_follower(context: Any, count: int, seconds: int) -> None:
    """Cut a follower off under load."""
    network = context.network
    leader = network.find_leaders()[0]
    context.late = next(found for found in network.nodes if found != leader)
    network.isolate(context.late)
    network.sent_entries.clear()
    _propose_over(network, count, seconds)


@then('it was sent less than {limit:d} of them')
def check_sent(context: Any, limit: int) -> None:
    """Check what was sent to the follower."""
    sent = context.network.sent_entries[context.late]
    assert sent < limit, sent


@when(
    'the cut heals and {count:d} payloads are proposed in {seconds:d} seconds',
)
def heal_follower(context: Any, count: int, seconds: int) -> None:
    """Join the follower again under load."""
    network = context.network
    network.cuts.clear()
    network.sent_entries.clear()
    _propose_over(network, count, seconds)
    network.run(1)


@then('it holds all and was sent less than {limit:d} entries since')
def check_caught_up(context: Any, limit: int) -> None:
    """Check that the follower lacks nothing."""
    network = context.network
    check_sent(context, limit)
    held = network.get_journal(context.late)
    assert held == network.longest, (len(held), len(network.longest))


def _propose_over(network: VoterNetwork, count: int, seconds: float) -> None:
    steps = round(seconds / STEP)
    for step in range(steps):
        due = count * (step + 1) // steps - count * step // steps
        for number in range(due):
            assert network.propose(f'{step}.{number}'.encode())
        network.run(STEP / 2)


@when('{count:d} payloads are proposed')
def propose(context: Any, count: int) -> None:
    """Propose payloads and give them time to commit."""
    network: VoterNetwork = context.network
    context.accepted_before = len(network.accepted)
    for _ in range(count):
        context.count += 1
        network.propose(str(context.count).encode())
    network.run(2)


@then('{count:d} of them are accepted')
def check_accepted(context: Any, count: int) -> None:
    """Check how many of the last payloads were accepted."""
    accepted = len(context.network.accepted) - context.accepted_before
    assert accepted == count, accepted


@when('the leader is isolated for {seconds:g} seconds')
def isolate_leader(context: Any, seconds: float) -> None:
    """Cut every link of the leader without a word."""
    context.network.isolate(context.first_leader)
    context.network.run(seconds)


@then('another voter leads in a newer term and the old one has stepped down')
def check_replaced(context: Any) -> None:
    """Check that exactly one other voter leads."""
    leaders = context.network.find_leaders()
    assert len(leaders) == 1, leaders
    assert leaders[0] != context.first_leader
    assert _get_term(context.network, leaders[0]) > context.first_term


@when('the links are mended for {seconds:g} seconds')
def mend(context: Any, seconds: float) -> None:
    """Mend all links."""
    context.network.cuts.clear()
    context.network.run(seconds)


@then('every voter holds every accepted payload once, in one order')
def check_all(context: Any) -> None:
    """Mend everything and check each voter."""
    check_end(context.network)


@then('the living voters hold every accepted payload once, in one order')
def check_living(context: Any) -> None:
    """Check each voter that runs."""
    context.network.run(3)
    for voter in context.network.nodes:
        check_journal(context.network, voter)


@when("the leader's messages to one follower are cut for {seconds:g} seconds")
def cut_one_way(context: Any, seconds: float) -> None:
    """Cut one direction of one link."""
    followers = _get_followers(context)
    context.network.cut(context.first_leader, followers[0])
    context.network.run(seconds)


@then('the same voter leads in the same term')
def check_same_leader(context: Any) -> None:
    """Check that the leader and its term stayed."""
    leaders = context.network.find_leaders()
    assert leaders == [context.first_leader], leaders
    term = _get_term(context.network, context.first_leader)
    assert term == context.first_term, term


@when('a follower loses its disk and is replaced by a new voter')
def replace_follower(context: Any) -> None:
    """Add a voter with a new disk, then remove the lost one."""
    network: VoterNetwork = context.network
    lost = _get_followers(context)[0]
    network.nodes.pop(lost)
    network.start(NEW_VOTER, is_joining=True)
    assert network.change(lambda role: role.add_voter(NEW_VOTER, network.now))
    network.run(2)
    assert network.change(lambda role: role.remove_voter(lost, network.now))
    network.run(1)


@when('another follower is lost just after')
def lose_another(context: Any) -> None:
    """Lose a voter that is neither the leader nor the new one."""
    followers = _get_followers(context)
    context.network.nodes.pop(
        next(found for found in followers if found != NEW_VOTER),
    )


@when('a follower comes back with a wiped disk under a new identity')
def wipe_follower(context: Any) -> None:
    """Start a new voter that was not added."""
    network: VoterNetwork = context.network
    context.wiped = _get_followers(context)[0]
    network.nodes.pop(context.wiped)
    network.start(NEW_VOTER, is_joining=True)
    network.run(1)


@when('the other follower is isolated for {seconds:g} seconds')
def isolate_follower(context: Any, seconds: float) -> None:
    """Isolate the follower that still has its disk."""
    followers = [
        found for found in _get_followers(context) if found != NEW_VOTER
    ]
    context.network.isolate(followers[0])
    context.network.run(seconds)


@when("the leader's disk refuses to sync and {count:d} payloads are proposed")
def refuse_sync(context: Any, count: int) -> None:
    """Let the next sync of the leader fail."""
    context.network.storages[context.first_leader].refuses_sync = True
    propose(context, count)


@then('the leader has stopped')
def check_stopped(context: Any) -> None:
    """Check that the voter with the failed disk takes no more part."""
    assert context.first_leader not in context.network.nodes


@when('the leadership is transferred to a follower')
def transfer_leadership(context: Any) -> None:
    """Ask the leader to hand over."""
    context.target = _get_followers(context)[0]
    context.network.transfer(context.first_leader, context.target)


@then('that follower leads within {seconds:g} seconds')
def check_transferred(context: Any, seconds: float) -> None:
    """Check that the target leads."""
    context.network.run(seconds)
    assert context.network.find_leaders() == [context.target]


@given('3 voters with a snapshot of {parts:d} parts')
def start_large(context: Any, parts: int) -> None:
    """Start voters and commit payloads of a part each."""
    voters = tuple(map(VoterId, 'abc'))
    context.network = VoterNetwork(
        Random(SEED),
        voters,
        max_delay=0,
        snapshot_entries=parts,
    )
    for voter in voters:
        context.network.start(voter)
    context.network.run(3)
    for number in range(parts):
        context.network.propose(str(number).encode().ljust(PART_BYTES))
        context.network.run(STEP)
    context.network.run(1)


@when('a new voter is fed')
def feed_new(context: Any) -> None:
    """Begin to feed a voter with an empty disk."""
    network: VoterNetwork = context.network
    network.start(NEW_VOTER, is_joining=True)
    leader = network.find_leaders()[0]
    role = network.get_leader_role(leader)
    role.set_learners((NEW_VOTER,), network.now)
    network.flush(leader)


@when('the leader acts only every {seconds:g} seconds')
def slow_leader(context: Any, seconds: float) -> None:
    """Let the leader's loop be late."""
    network: VoterNetwork = context.network
    network.turns[network.find_leaders()[0]] = round(seconds / STEP)


@when('{count:d} payloads are proposed in {seconds:g} seconds')
def propose_fast(context: Any, count: int, seconds: float) -> None:
    """Propose payloads at an even rate."""
    _propose_over(context.network, count, seconds)


@then('the new voter could vote at once')
def check_ready(context: Any) -> None:
    """Check that the leader takes the new voter for up to date."""
    network: VoterNetwork = context.network
    role = network.get_leader_role(network.find_leaders()[0])
    ready = role.get_caught_up_learners(network.now)
    progress = role.replicator.peers[NEW_VOTER]
    assert ready == [NEW_VOTER], (progress, role.state.commit_index)


@then('it was sent no snapshot')
def check_no_part(context: Any) -> None:
    """Check that the new voter got entries only."""
    assert not context.network.sent_parts[NEW_VOTER], context.network.sent_parts


@then('it holds all in less than {trips:d} round trips')
def check_trips(context: Any, trips: int) -> None:
    """Let as much time pass as the round trips take."""
    network: VoterNetwork = context.network
    network.run(2 * STEP * (trips - 1))
    assert network.get_journal(NEW_VOTER) == network.longest


@when('a voter is added and another removed at once')
def change_twice(context: Any) -> None:
    """Start two changes of the voters at once."""
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


@when('the leader is cut off from the others and adds a voter')
def add_behind_cut(context: Any) -> None:
    """Let the leader append a change that no other voter receives."""
    network: VoterNetwork = context.network
    network.start(NEW_VOTER, is_joining=True)
    network.run(1)
    _cut_apart(network, {context.first_leader, NEW_VOTER})
    assert network.change(lambda role: role.add_voter(NEW_VOTER, network.now))
    network.run(0.2)
    state = network.nodes[context.first_leader].voter.state
    assert NEW_VOTER in state.log.get_voters()


@when('a new leader removes the old one before it has committed an entry')
def remove_early(context: Any) -> None:
    """Cut one of the voters that elected the leader off at once."""
    network: VoterNetwork = context.network
    leader = context.first_leader
    while leader == context.first_leader:
        network.run(STEP)
        leader = (network.find_leaders() or [leader])[0]
    others = set(network.first_voters) - {context.first_leader, leader}
    context.rest = min(others)
    _cut_apart(network, {leader, *others} - {context.rest})
    network.change(
        lambda role: role.remove_voter(context.first_leader, network.now),
    )


@when(
    'the old leader, the new voter and one other voter are the only ones left',
)
def cut_off_rest(context: Any) -> None:
    """Join the voters that do not know what was committed."""
    network: VoterNetwork = context.network
    network.cuts.clear()
    _cut_apart(network, {context.first_leader, NEW_VOTER, context.rest})
    network.run(5)


def _cut_apart(network: VoterNetwork, group: set[VoterId]) -> None:
    for one in group:
        for other in set(network.nodes) - group:
            network.cut(one, other)
            network.cut(other, one)


@given('the random run with seed {seed:d}')
def run_one(context: Any, seed: int) -> None:
    """Run one random run."""
    context.runs = [run_random(seed)]


@given('random runs with seeds from {first:d} to {last:d}')
def run_many(context: Any, first: int, last: int) -> None:
    """Run random runs; each checks its own end."""
    context.runs = [run_random(seed) for seed in range(first, last + 1)]


@then('each run ended with every accepted payload once, in one order')
def check_runs(context: Any) -> None:
    """Check that the runs accepted payloads at all."""
    assert all(len(network.accepted) > 1 for network in context.runs)


@then(
    'a hypothesis run of {examples:d} examples of {steps:d} steps finds '
    'no difference',
)
def run_hypothesis(context: Any, examples: int, steps: int) -> None:
    """Run the state machine with fixed choices."""
    run_state_machine_as_test(
        VoterMachine,
        settings=get_settings(examples, steps),
    )


@given('a log on disk with {count:d} entries')
def write_log(context: Any, count: int) -> None:
    """Commit entries in groups to a log on disk."""
    context.world.run(_commit(context.world.folder / 'log', count))


@when('the log is opened again')
def open_log(context: Any) -> None:
    """Open the log as a restarted process does."""
    context.journal = CountingJournal()
    context.node = _open(context.world.folder / 'log', context.journal)


@then('at most {count:d} entries are read after the snapshot')
def check_tail(context: Any, count: int) -> None:
    """Check how many entries the snapshot does not cover."""
    assert len(context.node.voter.state.log.entries) <= count


@then('the state machine has applied {count:d} payloads')
def check_applied(context: Any, count: int) -> None:
    """Check the restored and replayed state."""
    context.node.voter.tick(monotonic())
    context.node.flush()
    assert context.journal.count == count, context.journal.count


@define
class CountingJournal(Journal):
    """State machine that only counts."""

    count: int = 0

    def apply(self, index: int, payload: bytes) -> object:
        """Count a payload."""
        self.count += 1
        return self.count

    def get_snapshot(self) -> bytes:
        """Get the count as bytes."""
        return str(self.count).encode()

    def restore(self, state: bytes) -> None:
        """Replace the count."""
        self.count = int(state)


def _open(folder: Any, journal: Journal) -> LogNode:
    own = VoterId('a')
    return open_node(
        'test',
        own,
        FileLogStorage(folder),
        journal,
        (own,),
        Timing(),
        Random(1),
        monotonic(),
    )


async def _commit(folder: Any, count: int) -> None:
    node = _open(folder, CountingJournal())
    group = VotingGroup('test', node, LocalTransport(VoterId('a')), monotonic)
    group.start()
    for _ in range(count // 1000):
        answers = await gather(*(group.propose(b'x') for _ in range(1000)))
        assert all(answer.is_ok() for answer in answers)
    await group.stop()


def _get_followers(context: Any) -> list[VoterId]:
    leaders = context.network.find_leaders()
    return [found for found in context.network.nodes if found not in leaders]


def _get_term(network: VoterNetwork, voter: VoterId) -> int:
    return network.nodes[voter].voter.state.term
