"""Voters joined by in-memory links with delay, loss and cuts."""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from attrs import define, field
from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.groups.node import LogNode, open_node
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.base import StorageError
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.voting.messages import (
    AppendRequest,
    SnapshotChunk,
    VoterMessage,
)
from hornbeamstair_replicas.voting.roles.leader import LeaderRole
from hornbeamstair_replicas.voting.timing import Timing

__all__ = ('STEP', 'Journal', 'VoterNetwork')

STEP: Final = 0.02
SNAPSHOT_ENTRIES: Final = 20


@define
class Journal(StateMachine):
    """State machine that keeps every payload in order."""

    payloads: list[bytes] = field(factory=list)

    def apply(self, index: int, payload: bytes) -> object:
        """Keep a payload and return how many there are."""
        self.payloads.append(payload)
        return len(self.payloads)

    def get_snapshot(self) -> bytes:
        """Get the payloads as bytes."""
        return b'\n'.join(self.payloads)

    def restore(self, state: bytes) -> None:
        """Replace the payloads."""
        self.payloads = state.split(b'\n') if state else []


@define
class Letter:
    """Message on its way."""

    arrives_at: float
    sender: VoterId
    receiver: VoterId
    message: VoterMessage


@define(eq=False)
class VoterNetwork:
    """Voters, their storages and the links between them."""

    rng: Random
    first_voters: tuple[VoterId, ...]
    now: float = 100
    loss: float = 0
    max_delay: float = 0.01
    storages: dict[VoterId, MemoryLogStorage] = field(factory=dict)
    nodes: dict[VoterId, LogNode] = field(factory=dict)
    letters: list[Letter] = field(factory=list)
    cuts: set[tuple[VoterId, VoterId]] = field(factory=set)
    accepted: list[bytes] = field(factory=list)
    waiting: dict[tuple[int, int], bytes] = field(factory=dict)
    longest: list[bytes] = field(factory=list)
    # Entries sent to each voter, on links that are cut as well.
    sent_entries: 'Counter[VoterId]' = field(factory=Counter)
    sent_parts: 'Counter[VoterId]' = field(factory=Counter)
    snapshot_entries: int = SNAPSHOT_ENTRIES
    # Steps from one turn of a voter's loop to the next.
    turns: dict[VoterId, int] = field(factory=dict)
    steps: int = 0

    def start(self, voter: VoterId, *, is_joining: bool = False) -> None:
        """Start a voter from what its storage holds."""
        storage = self.storages.setdefault(voter, MemoryLogStorage())
        node = open_node(
            'test',
            voter,
            storage,
            Journal(),
            () if is_joining else self.first_voters,
            Timing(),
            self.rng,
            self.now,
        )
        node.snapshot_entries = self.snapshot_entries
        self.nodes[voter] = node

    def crash(self, voter: VoterId) -> None:
        """Stop a voter; writes since the last sync are lost."""
        self.nodes.pop(voter)
        self.storages[voter].crash()

    def cut(self, one: VoterId, other: VoterId) -> None:
        """Cut the link from one voter to another, in that direction."""
        self.cuts.add((one, other))

    def isolate(self, voter: VoterId) -> None:
        """Cut every link of a voter."""
        for other in {*self.first_voters, *self.nodes} - {voter}:
            self.cut(voter, other)
            self.cut(other, voter)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self.steps += 1
            # A late loop acts on deadlines before it reads what came.
            self._tick(filter(self._has_turn, self.turns))
            self._deliver()
            self._tick(set(self.nodes).difference(self.turns))
            self._check()

    def find_leaders(self) -> list[VoterId]:
        """Find the voters that believe that they lead, newest term first."""
        leaders = [
            voter
            for voter, node in self.nodes.items()
            if isinstance(node.voter.role, LeaderRole)
        ]
        return sorted(
            leaders,
            key=lambda voter: self.nodes[voter].voter.state.term,
            reverse=True,
        )

    def propose(self, payload: bytes, voter: VoterId | None = None) -> bool:
        """Propose a payload at a leader; False if none takes it."""
        leaders = [voter] if voter else self.find_leaders()[:1]
        for leader in leaders:
            node = self.nodes[leader].voter
            proposed = node.propose((payload,), self.now)
            if proposed.is_ok():
                index = proposed.ok[0]
                self.waiting[index, node.state.term] = payload
                self.flush(leader)
                return True
        return False

    def change(
        self,
        change: Callable[[LeaderRole], Result[None, Failure]],
    ) -> bool:
        """Change the voters at the leader; False if it is refused."""
        leader = self.find_leaders()[0]
        changed = change(self.get_leader_role(leader))
        self.flush(leader)
        return changed.is_ok()

    def transfer(self, leader: VoterId, target: VoterId) -> None:
        """Ask a leader to hand over to another voter."""
        self.get_leader_role(leader).transfer(target, self.now)
        self.flush(leader)

    def get_leader_role(self, voter: VoterId) -> LeaderRole:
        """Get the role of a voter that leads."""
        role = self.nodes[voter].voter.role
        assert isinstance(role, LeaderRole)
        return role

    def get_journal(self, voter: VoterId) -> list[bytes]:
        """Get the payloads that a voter applied."""
        machine = self.nodes[voter].state_machine
        assert isinstance(machine, Journal)
        return machine.payloads

    def flush(self, voter: VoterId) -> None:
        """Carry out what a voter has put out."""
        if voter not in self.nodes:
            return
        try:
            flushed = self.nodes[voter].flush()
        except StorageError:
            self.nodes.pop(voter)
            return
        for sent in flushed.messages:
            self._send(voter, sent.receiver, sent.message)
        for applied in flushed.applied:
            payload = self.waiting.pop((applied.index, applied.term), None)
            if payload is not None:
                self.accepted.append(payload)

    def _send(
        self,
        sender: VoterId,
        receiver: VoterId,
        message: VoterMessage,
    ) -> None:
        if isinstance(message, AppendRequest):
            self.sent_entries[receiver] += len(message.entries)
        if isinstance(message, SnapshotChunk):
            self.sent_parts[receiver] += 1
        if (sender, receiver) in self.cuts or self.rng.random() < self.loss:
            return
        arrives_at = self.now + self.rng.uniform(0, self.max_delay)
        self.letters.append(Letter(arrives_at, sender, receiver, message))

    def _deliver(self) -> None:
        due = [found for found in self.letters if self._is_due(found)]
        self.letters = [
            found for found in self.letters if not self._is_due(found)
        ]
        for letter in sorted(due, key=lambda found: found.arrives_at):
            if (letter.sender, letter.receiver) in self.cuts:
                continue
            node = self.nodes.get(letter.receiver)
            if node is not None:
                node.voter.receive(letter.sender, letter.message, self.now)
                self.flush(letter.receiver)

    def _tick(self, voters: Iterable[VoterId]) -> None:
        for voter in sorted(voters):
            self.nodes[voter].voter.tick(self.now)
            self.flush(voter)

    def _has_turn(self, voter: VoterId) -> bool:
        return self.steps % self.turns.get(voter, 1) == 0

    def _is_due(self, letter: Letter) -> bool:
        return letter.arrives_at <= self.now and self._has_turn(letter.receiver)

    def _check(self) -> None:
        readers = [
            voter
            for voter in self.find_leaders()
            if self.get_leader_role(voter).can_read(self.now)
        ]
        assert len(readers) <= 1, f'two voters serve reads: {readers}'
        for voter in self.nodes:
            journal = self.get_journal(voter)
            shared = min(len(journal), len(self.longest))
            assert journal[:shared] == self.longest[:shared], 'order differs'
            if len(journal) > len(self.longest):
                self.longest = list(journal)
        for reader in readers:
            self._check_fresh(reader)

    def _check_fresh(self, reader: VoterId) -> None:
        committed = self.nodes[reader].voter.state.commit_index
        newest = max(
            node.voter.state.commit_index for node in self.nodes.values()
        )
        assert committed >= newest, f'{reader} would serve a stale read'
