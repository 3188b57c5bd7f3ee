"""Random simulations of voters, and a hypothesis state machine."""

from collections.abc import Callable
from random import Random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from hornbeamstair_replicas.messages import VoterId
from tests.support.voters import VoterNetwork

__all__ = (
    'VoterMachine',
    'check_final_state',
    'run_random',
    'run_random_disks',
)

_ACTION_COUNT = 60
_NAMES = tuple(map(VoterId, 'abcde'))
_PAUSE_SECONDS = (0.02, 0.1, 0.5, 1.5)


def run_random(seed: int) -> VoterNetwork:
    """Run random failures, then heal them and check the final state."""
    return _run(seed, _ACTIONS)


def run_random_disks(seed: int) -> VoterNetwork:
    """Run random failures with disks that refuse writes for a while."""
    return _run(seed, (*_ACTIONS, *_DISK_ACTIONS))


def _run(seed: int, weighted: '_WeightedActions') -> VoterNetwork:
    rng = Random(seed)
    voters = _NAMES[: rng.choice((1, 3, 5))]
    network = VoterNetwork(
        rng,
        voters,
        loss_rate=rng.choice((0, 0.02, 0.1)),
        max_delay=rng.choice((0.005, 0.05, 0.2)),
    )
    for voter in voters:
        network.start(voter)
    actions, weights = zip(*weighted, strict=True)
    for action in rng.choices(actions, weights, k=_ACTION_COUNT):
        action(network, rng)
        network.run(rng.choice(_PAUSE_SECONDS))
    check_final_state(network)
    return network


def check_final_state(network: VoterNetwork) -> None:
    """Heal all faults; check that no accepted payload is lost or repeated."""
    network.dropped_links.clear()
    network.loss_rate = 0
    for voter in network.initial_voters:
        network.set_disk_fails(voter, fails=False)
        if voter not in {*network.nodes, *network.failed}:
            network.start(voter)
    network.run(5)
    assert network.propose(b'last'), (
        'no voter leads after all faults were healed'
    )
    network.run(2)
    assert b'last' in network.accepted, 'the last payload was not committed'
    for voter in network.initial_voters:
        check_payloads(network, voter)


def check_payloads(network: VoterNetwork, voter: VoterId) -> None:
    """Check the payloads that one voter has applied."""
    payloads = network.get_payloads(voter)
    assert len(set(payloads)) == len(payloads), (
        f'{voter} applied a payload twice'
    )
    lost = set(network.accepted) - set(payloads)
    assert not lost, f'{voter} lost {lost}'
    assert payloads == network.longest_log, (
        f'{voter} applied payloads in a different order'
    )


def propose_some(network: VoterNetwork, rng: Random) -> None:
    """Propose some unique payloads."""
    for turn in range(rng.randint(1, 8)):
        network.propose(f'{network.now:.2f}-{turn}'.encode())


def crash_one(network: VoterNetwork, rng: Random) -> None:
    """Crash a random running voter."""
    if network.nodes:
        network.crash(rng.choice(sorted(network.nodes)))


def start_one(network: VoterNetwork, rng: Random) -> None:
    """Start a random stopped voter."""
    running = {*network.nodes, *network.failed}
    down = sorted(set(network.initial_voters) - running)
    if down:
        network.start(rng.choice(down))


def partition_some(network: VoterNetwork, rng: Random) -> None:
    """Partition one direction of a link, or all links of a voter."""
    if len(network.initial_voters) == 1:
        return
    one, other = rng.sample(network.initial_voters, 2)
    if rng.choice((True, False)):
        network.drop_link(one, other)
    else:
        network.isolate(one)


def heal_all(network: VoterNetwork, rng: Random) -> None:
    """Restore all links."""
    network.dropped_links.clear()


def transfer(network: VoterNetwork, rng: Random) -> None:
    """Transfer the leadership to a random voter."""
    leaders = network.find_leaders()
    others = [
        voter for voter in network.initial_voters if voter not in leaders[:1]
    ]
    if leaders and others:
        network.transfer(leaders[0], rng.choice(others))


def fail_disk(network: VoterNetwork, rng: Random) -> None:
    """Have the disk of a random voter refuse writes."""
    network.set_disk_fails(rng.choice(network.initial_voters), fails=True)


def mend_disks(network: VoterNetwork, rng: Random) -> None:
    """Have all disks accept writes."""
    for voter in network.initial_voters:
        network.set_disk_fails(voter, fails=False)


def crash_failed(network: VoterNetwork, rng: Random) -> None:
    """Crash a random voter whose storage fails."""
    if network.failed:
        network.crash(rng.choice(sorted(network.failed)))


_Action = Callable[[VoterNetwork, Random], None]
_WeightedActions = tuple[tuple[_Action, int], ...]

_DISK_ACTIONS: _WeightedActions = (
    (fail_disk, 8),
    (mend_disks, 16),
    (crash_failed, 4),
)
_ACTIONS: _WeightedActions = (
    (propose_some, 50),
    (crash_one, 10),
    (start_one, 15),
    (partition_some, 12),
    (heal_all, 10),
    (transfer, 3),
)


class VoterMachine(RuleBasedStateMachine):
    """Rules over three voters; the oracle is the list of accepted payloads."""

    @initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Start three voters."""
        self.rng = Random(seed)
        self.network = VoterNetwork(self.rng, _NAMES[:3], max_delay=0.05)
        self.count = 0
        for voter in self.network.initial_voters:
            self.network.start(voter)

    @rule(payloads=strategies.integers(1, 8))
    def propose(self, payloads: int) -> None:
        """Propose payloads."""
        for _ in range(payloads):
            self.count += 1
            self.network.propose(str(self.count).encode())

    @rule()
    def crash(self) -> None:
        """Crash a voter."""
        crash_one(self.network, self.rng)

    @rule()
    def start(self) -> None:
        """Start a voter."""
        start_one(self.network, self.rng)

    @rule()
    def drop_link(self) -> None:
        """Partition random links."""
        partition_some(self.network, self.rng)

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.network.dropped_links.clear()

    @rule(seconds=strategies.sampled_from(_PAUSE_SECONDS))
    def wait(self, seconds: float) -> None:
        """Advance the simulation."""
        self.network.run(seconds)

    def teardown(self) -> None:
        """Heal all faults and compare with the accepted payloads."""
        if hasattr(self, 'network'):
            check_final_state(self.network)


def get_settings(examples: int, steps: int) -> settings:
    """Return settings for reproducible runs."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
    )
