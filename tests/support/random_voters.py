"""Random runs of voters, and a hypothesis machine over the same network."""

from random import Random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from hornbeamstair_replicas.messages import VoterId
from tests.support.voters import VoterNetwork

__all__ = ('VoterMachine', 'check_end', 'run_random')

_STEPS = 60
_NAMES = tuple(map(VoterId, 'abcde'))
_PAUSES = (0.02, 0.1, 0.5, 1.5)


def run_random(seed: int) -> VoterNetwork:
    """Run random failures, then mend everything and check the end."""
    rng = Random(seed)
    voters = _NAMES[: rng.choice((1, 3, 5))]
    network = VoterNetwork(
        rng,
        voters,
        loss=rng.choice((0, 0.02, 0.1)),
        max_delay=rng.choice((0.005, 0.05, 0.2)),
    )
    for voter in voters:
        network.start(voter)
    actions, weights = zip(*_ACTIONS, strict=True)
    for action in rng.choices(actions, weights, k=_STEPS):
        action(network, rng)
        network.run(rng.choice(_PAUSES))
    check_end(network)
    return network


def check_end(network: VoterNetwork) -> None:
    """Mend everything; every accepted payload must be there once."""
    network.cuts.clear()
    network.loss = 0
    for voter in network.first_voters:
        if voter not in network.nodes:
            network.start(voter)
    network.run(5)
    assert network.propose(b'last'), 'no voter leads'
    network.run(2)
    assert b'last' in network.accepted, 'the last payload is not committed'
    for voter in network.first_voters:
        check_journal(network, voter)


def check_journal(network: VoterNetwork, voter: VoterId) -> None:
    """Check the payloads that one voter applied."""
    journal = network.get_journal(voter)
    assert len(set(journal)) == len(journal), f'{voter} applied one twice'
    lost = set(network.accepted) - set(journal)
    assert not lost, f'{voter} lost {lost}'
    assert journal == network.longest, f'{voter} has another order'


def propose_some(network: VoterNetwork, rng: Random) -> None:
    """Propose some payloads that no other step proposes."""
    for turn in range(rng.randint(1, 8)):
        network.propose(f'{network.now:.2f}-{turn}'.encode())


def crash_one(network: VoterNetwork, rng: Random) -> None:
    """Crash a voter if one runs."""
    if network.nodes:
        network.crash(rng.choice(sorted(network.nodes)))


def start_one(network: VoterNetwork, rng: Random) -> None:
    """Start a voter if one is down."""
    down = sorted(set(network.first_voters) - set(network.nodes))
    if down:
        network.start(rng.choice(down))


def cut_some(network: VoterNetwork, rng: Random) -> None:
    """Cut one direction of a link, or all links of a voter."""
    if len(network.first_voters) == 1:
        return
    one, other = rng.sample(network.first_voters, 2)
    if rng.choice((True, False)):
        network.cut(one, other)
    else:
        network.isolate(one)


def mend_all(network: VoterNetwork, rng: Random) -> None:
    """Mend all links."""
    network.cuts.clear()


def transfer(network: VoterNetwork, rng: Random) -> None:
    """Ask the leader to hand over."""
    leaders = network.find_leaders()
    others = [
        voter for voter in network.first_voters if voter not in leaders[:1]
    ]
    if leaders and others:
        network.transfer(leaders[0], rng.choice(others))


_ACTIONS = (
    (propose_some, 50),
    (crash_one, 10),
    (start_one, 15),
    (cut_some, 12),
    (mend_all, 10),
    (transfer, 3),
)


class VoterMachine(RuleBasedStateMachine):
    """Rules over three voters; the oracle is the list of accepted ones."""

    @initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Start three voters."""
        self.rng = Random(seed)
        self.network = VoterNetwork(self.rng, _NAMES[:3], max_delay=0.05)
        self.count = 0
        for voter in self.network.first_voters:
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
    def cut(self) -> None:
        """Cut links."""
        cut_some(self.network, self.rng)

    @rule()
    def mend(self) -> None:
        """Mend all links."""
        self.network.cuts.clear()

    @rule(seconds=strategies.sampled_from(_PAUSES))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.network.run(seconds)

    def teardown(self) -> None:
        """Mend everything and compare with the oracle."""
        if hasattr(self, 'network'):
            check_end(self.network)


def get_settings(examples: int, steps: int) -> settings:
    """Get settings that give the same run each time."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
    )
