"""Voters on a simulated network with delay, loss and partitions."""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from attrs import define, field
from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.codec import encode_envelope
from hornbeamstair_replicas.groups.node import LogNode, open_node
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
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

__all__ = ('STEP_SECONDS', 'PayloadLog', 'VoterNetwork')

STEP_SECONDS: Final = 0.02
SNAPSHOT_ENTRIES: Final = 20


@define
class PayloadLog(StateMachine):
    """State machine that stores all payloads in order."""

    payloads: list[bytes] = field(factory=list)

    def apply(self, index: int, payload: bytes) -> object:
        """Store a payload; return the number of payloads."""
        self.payloads.append(payload)
        return len(self.payloads)

    def get_snapshot(self) -> bytes:
        """Encode the payloads."""
        return b'\n'.join(self.payloads)

    def restore(self, state: bytes) -> None:
        """Restore the payloads."""
        self.payloads = state.split(b'\n') if state else []


@define
class Packet:
    """Message that was sent and is not yet delivered."""

    arrives_at: float
    sender: VoterId
    receiver: VoterId
    message: VoterMessage


@define(eq=False)
class VoterNetwork:
    """Voters, their storages and the simulated links between them."""

    rng: Random
    initial_voters: tuple[VoterId, ...]
    now: float = 100
    loss_rate: float = 0
    max_delay: float = 0.01
    storages: dict[VoterId, MemoryLogStorage] = field(factory=dict)
    nodes: dict[VoterId, LogNode] = field(factory=dict)
    # Voters that take no part while their storage fails.
    failed: dict[VoterId, LogNode] = field(factory=dict)
    packets: list[Packet] = field(factory=list)
    dropped_links: set[tuple[VoterId, VoterId]] = field(factory=set)
    accepted: list[bytes] = field(factory=list)
    proposed_payloads: dict[tuple[int, int], bytes] = field(factory=dict)
    longest_log: list[bytes] = field(factory=list)
    # Entries sent to each voter, including on partitioned links.
    sent_entries: 'Counter[VoterId]' = field(factory=Counter)
    sent_chunks: 'Counter[VoterId]' = field(factory=Counter)
    # Larger messages are dropped; None carries all.
    max_message_bytes: int | None = None
    # Kinds of messages that no link delivers.
    lost_kinds: tuple[type[VoterMessage], ...] = ()
    snapshot_entries: int = SNAPSHOT_ENTRIES
    # Steps between two runs of a voter's event loop, where more than one.
    loop_steps: dict[VoterId, int] = field(factory=dict)
    steps: int = 0

    def start(self, voter: VoterId, *, is_joining: bool = False) -> None:
        """Start a voter from its storage."""
        storage = self.storages.setdefault(voter, MemoryLogStorage())
        node = open_node(
            'test',
            voter,
            storage,
            PayloadLog(),
            () if is_joining else self.initial_voters,
            Timing(),
            self.rng,
            self.now,
        )
        node.snapshot_entries = self.snapshot_entries
        self.nodes[voter] = node

    def crash(self, voter: VoterId) -> None:
        """Stop a voter and discard its unsynced writes."""
        self.nodes.pop(voter, None)
        self.failed.pop(voter, None)
        self.storages[voter].crash()

    def set_disk_fails(self, voter: VoterId, *, fails: bool) -> None:
        """Have the disk of a voter refuse writes, or accept them again."""
        self.storages[voter].fails_sync = fails

    def drop_link(self, one: VoterId, other: VoterId) -> None:
        """Drop all messages from one voter to another."""
        self.dropped_links.add((one, other))

    def isolate(self, voter: VoterId) -> None:
        """Drop all messages from and to a voter."""
        for other in {*self.initial_voters, *self.nodes} - {voter}:
            self.drop_link(voter, other)
            self.drop_link(other, voter)

    def run(self, seconds: float) -> None:
        """Advance the simulation by some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.steps += 1
            self._reopen_failed()
            # A slow event loop handles deadlines before received messages.
            self._tick(filter(self._runs_now, self.loop_steps))
            self._deliver()
            self._tick(set(self.nodes).difference(self.loop_steps))
            self._check()

    def find_leaders(self) -> list[VoterId]:
        """Return the voters in the leader role, newest term first."""
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
        """Propose a payload to a leader; return whether it was appended."""
        leaders = [voter] if voter else self.find_leaders()[:1]
        for leader in leaders:
            node = self.nodes[leader].voter
            proposed = node.propose((payload,), self.now)
            if proposed.is_ok():
                index = proposed.ok[0]
                self.proposed_payloads[index, node.state.term] = payload
                self.flush(leader)
                return True
        return False

    def change(
        self,
        change: Callable[[LeaderRole], Result[None, Failure]],
    ) -> bool:
        """Change the voters; return whether the leader accepted it."""
        leader = self.find_leaders()[0]
        changed = change(self.get_leader_role(leader))
        self.flush(leader)
        return changed.is_ok()

    def transfer(self, leader: VoterId, target: VoterId) -> None:
        """Ask a leader to transfer the leadership to another voter."""
        self.get_leader_role(leader).transfer(target, self.now)
        self.flush(leader)

    def get_leader_role(self, voter: VoterId) -> LeaderRole:
        """Return the leader role of a voter."""
        role = self.nodes[voter].voter.role
        assert isinstance(role, LeaderRole)
        return role

    def get_payloads(self, voter: VoterId) -> list[bytes]:
        """Return the payloads that a voter has applied."""
        state_machine = self.nodes[voter].state_machine
        assert isinstance(state_machine, PayloadLog)
        return state_machine.payloads

    def flush(self, voter: VoterId) -> None:
        """Flush the outputs of a voter: write, send and apply."""
        if voter not in self.nodes:
            return
        try:
            flushed = self.nodes[voter].flush()
        except StorageError:
            self.failed[voter] = self.nodes.pop(voter)
            return
        for sent in flushed.messages:
            self._send(voter, sent.receiver, sent.message)
        for applied in flushed.applied:
            payload = self.proposed_payloads.pop(
                (applied.index, applied.term),
                None,
            )
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
            self.sent_chunks[receiver] += 1
        if (
            sender,
            receiver,
        ) in self.dropped_links or self.rng.random() < self.loss_rate:
            return
        if isinstance(message, self.lost_kinds):
            return
        if self._is_too_large(Envelope('test', sender, receiver, message)):
            return
        arrives_at = self.now + self.rng.uniform(0, self.max_delay)
        self.packets.append(Packet(arrives_at, sender, receiver, message))

    def _reopen_failed(self) -> None:
        for voter, node in list(self.failed.items()):
            try:
                node.reopen(self.now)
            except StorageError:
                continue
            self.nodes[voter] = self.failed.pop(voter)

    def _is_too_large(self, envelope: Envelope) -> bool:
        limit = self.max_message_bytes
        return limit is not None and len(encode_envelope(envelope)) > limit

    def _deliver(self) -> None:
        due = [queued for queued in self.packets if self._is_due(queued)]
        self.packets = [
            queued for queued in self.packets if not self._is_due(queued)
        ]
        for packet in sorted(due, key=lambda queued: queued.arrives_at):
            if (packet.sender, packet.receiver) in self.dropped_links:
                continue
            node = self.nodes.get(packet.receiver)
            if node is not None:
                node.voter.receive(packet.sender, packet.message, self.now)
                self.flush(packet.receiver)

    def _tick(self, voters: Iterable[VoterId]) -> None:
        for voter in sorted(voters):
            self.nodes[voter].voter.tick(self.now)
            self.flush(voter)

    def _runs_now(self, voter: VoterId) -> bool:
        return self.steps % self.loop_steps.get(voter, 1) == 0

    def _is_due(self, packet: Packet) -> bool:
        return packet.arrives_at <= self.now and self._runs_now(packet.receiver)

    def _check(self) -> None:
        readers = [
            voter
            for voter in self.find_leaders()
            if self.get_leader_role(voter).can_read(self.now)
        ]
        assert len(readers) <= 1, f'two voters serve reads: {readers}'
        for voter in self.nodes:
            payloads = self.get_payloads(voter)
            shared = min(len(payloads), len(self.longest_log))
            assert payloads[:shared] == self.longest_log[:shared], (
                'voters applied payloads in different orders'
            )
            if len(payloads) > len(self.longest_log):
                self.longest_log = list(payloads)
        for reader in readers:
            self._check_fresh(reader)

    def _check_fresh(self, reader: VoterId) -> None:
        committed = self.nodes[reader].voter.state.commit_index
        newest = max(
            node.voter.state.commit_index for node in self.nodes.values()
        )
        assert committed >= newest, f'{reader} would serve a stale read'
