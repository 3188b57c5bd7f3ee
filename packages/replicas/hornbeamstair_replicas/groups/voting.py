"""Membership of a voter in a replication group."""

from asyncio import Future, TimerHandle, get_running_loop, timeout
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from typing import Final

from attrs import Factory, define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
)
from hornbeamstair_replicas.groups.base import GroupStatus, ReplicaGroup
from hornbeamstair_replicas.groups.batching import ProposalBatch
from hornbeamstair_replicas.groups.forwarding import (
    ForwardedProposals,
    Payload,
    PendingEntry,
    Proposal,
    ProposalOutcome,
    encode_proposals,
    refuse_stale,
    set_outcome,
)
from hornbeamstair_replicas.groups.leader_watch import LeaderWatch
from hornbeamstair_replicas.groups.node import AppliedEntry, LogNode
from hornbeamstair_replicas.groups.recovery import StorageRecovery
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import (
    Envelope,
    FeedAnswer,
    FeedRequest,
    ForwardAnswer,
    ForwardRequest,
    PeerMessage,
)
from hornbeamstair_replicas.storage.base import StorageError
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_replicas.voting.messages import VoterMessage
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('VotingGroup',)

_COMMIT_TIMEOUT_SECONDS: Final = 2.0
_RETAINED_ENTRIES: Final = 1024


def _make_batch(group: 'VotingGroup') -> ProposalBatch:
    return ProposalBatch(group.node.get_batch_delay, group.propose_all)


def _make_recovery(group: 'VotingGroup') -> StorageRecovery:
    return StorageRecovery(group.node, group.get_time, group._tick)


@define(eq=False)
class VotingGroup(ReplicaGroup):
    """Member that votes and stores the log.

    Proposals that arrive close together are written with one sync. A proposal
    is refused if no leader is known. The outcome of a forwarded proposal is
    unknown if the leader does not return its log position in time.

    While its storage fails, a member takes no part, like one whose process has
    ended, and refuses all proposals.
    """

    group: str
    node: LogNode
    transport: PeerTransport
    get_time: Callable[[], float]
    batch: ProposalBatch = field(
        default=Factory(_make_batch, takes_self=True),
        init=False,
    )
    waiting: dict[int, PendingEntry] = field(factory=dict, init=False)
    forwarded: ForwardedProposals = field(
        factory=ForwardedProposals,
        init=False,
    )
    applied: OrderedDict[int, AppliedEntry] = field(
        factory=OrderedDict,
        init=False,
    )
    leader_watch: LeaderWatch = field(
        default=Factory(
            lambda group: LeaderWatch(group.group), takes_self=True
        ),
        init=False,
    )
    has_caught_up: bool = field(default=False, init=False)
    recovery: StorageRecovery = field(
        default=Factory(_make_recovery, takes_self=True),
        init=False,
    )
    timer: TimerHandle | None = field(default=None, init=False)
    is_flush_scheduled: bool = field(default=False, init=False)

    def start(self) -> None:
        """Join the group; a sole voter becomes its leader at once."""
        self.transport.add_receiver(self.group, self._handle_message)
        self._tick()
        self._flush()

    async def propose_once(
        self,
        payload: Payload,
        seconds: float = _COMMIT_TIMEOUT_SECONDS,
        term: int | None = None,
    ) -> ProposalOutcome:
        """Commit a payload and return the outcome of the state machine.

        With a term, the payload is refused unless this process still leads
        in that term when the batch is written.
        """
        if self.recovery.failure is not None:
            return Error(self.recovery.failure)
        future: Future[ProposalOutcome] = get_running_loop().create_future()
        self.batch.add(Proposal(payload, future, term))
        try:
            async with timeout(seconds):
                return await future
        except TimeoutError:
            return Error(NotCommittedFailure('no quorum in time'))

    def propose_all(self, proposals: list[Proposal]) -> None:
        """Append a batch of proposals, or forward it to the leader."""
        self._schedule_flush()
        voter = self.node.voter
        leading_term = None if voter.leader_role is None else voter.state.term
        encoded = encode_proposals(refuse_stale(proposals, leading_term))
        if not encoded:
            return
        payloads = tuple(payload for _, payload in encoded)
        indexes = voter.propose(payloads, self.get_time())
        if indexes.is_error():
            self._forward(encoded)
            return
        for index, (proposal, _) in zip(indexes.ok, encoded, strict=True):
            self.waiting[index] = PendingEntry(
                voter.state.term, proposal.future
            )

    def get_applied_index(self) -> int:
        """Get the index of the last applied entry."""
        return self.node.applied_index

    def is_caught_up(self) -> bool:
        """Return whether it votes and has caught up since its start."""
        if self.recovery.failure is not None:
            return False
        return self.has_caught_up and self.node.voter.state.is_voter()

    def get_status(self) -> GroupStatus:
        """Get the state of the group as seen by this process."""
        state = self.node.voter.state
        return GroupStatus(
            group=self.group,
            role=self.node.voter.role.name.value,
            term=state.term,
            leader=state.leader,
            voters=state.log.get_voters(),
            applied_index=self.node.applied_index,
        )

    def find_leader_role(self) -> Result[LeaderRole, Failure]:
        """Return the leader role; NotLeaderFailure names the known leader.

        StorageFailure while the storage of this process fails.
        """
        if self.recovery.failure is not None:
            return Error(self.recovery.failure)
        self._schedule_flush()
        return self.node.voter.find_leader_role()

    def can_serve(self) -> bool:
        """Return whether this process leads and may serve reads.

        Entries of previous leaders are known to be committed only once the
        first entry of the term is, so that entry must be applied as well.
        """
        role = self.node.voter.leader_role
        if role is None or self.recovery.failure is not None:
            return False
        if self.node.applied_index < role.term_start_index:
            return False
        return role.can_read(self.get_time())

    async def stop(self) -> None:
        """Write pending proposals and close the storage."""
        self.batch.flush()
        self._flush()
        if self.timer is not None:
            self.timer.cancel()
        self.recovery.stop()
        self.node.storage.close()

    def _handle_message(self, sender: VoterId, message: PeerMessage) -> None:
        if self.recovery.failure is not None:
            return
        match message:
            case VoterMessage():
                self.node.voter.receive(sender, message, self.get_time())
                self._schedule_flush()
            case ForwardRequest():
                self._propose_forwarded(sender, message)
            case ForwardAnswer():
                self._handle_position(message)
            case FeedRequest():
                self._send_feed(sender, message)

    def _schedule_flush(self) -> None:
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            get_running_loop().call_soon(self._flush)

    def _tick(self) -> None:
        self.timer = None
        if self.recovery.failure is None:
            self.node.voter.tick(self.get_time())
            self._flush()

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        if self.recovery.failure is not None:
            return
        try:
            flushed = self.node.flush()
        except StorageError as error:
            self._fail(error)
            return
        for outgoing in flushed.messages:
            self._send(outgoing.receiver, outgoing.message)
        for applied in flushed.applied:
            self._resolve(applied)
        self._update_leader()
        self._set_timer()

    def _forward(self, encoded: list[tuple[Proposal, bytes]]) -> None:
        leader = self.node.voter.state.leader
        for proposal, payload in encoded:
            if leader in {'', self.node.voter.state.voter}:
                set_outcome(proposal.future, Error(NotLeaderFailure(leader)))
                continue
            number = self.forwarded.add(proposal.future)
            self._send(leader, ForwardRequest(number, payload))

    def _propose_forwarded(
        self,
        sender: VoterId,
        request: ForwardRequest,
    ) -> None:
        indexes = self.node.voter.propose((request.payload,), self.get_time())
        if indexes.is_error():
            self._send(sender, ForwardAnswer(request.number, 0, 0))
            return
        term = self.node.voter.state.term
        index = indexes.ok[0]
        future: Future[ProposalOutcome] = get_running_loop().create_future()
        position = ForwardAnswer(request.number, index, term)
        send = partial(self._send, sender)
        future.add_done_callback(partial(_send_position, send, position))
        self.waiting[index] = PendingEntry(term, future)
        self._schedule_flush()

    def _handle_position(self, message: ForwardAnswer) -> None:
        future = self.forwarded.pop(message.number)
        if future is None:
            return
        if not message.index:
            set_outcome(future, Error(NotLeaderFailure('')))
            return
        self.waiting[message.index] = PendingEntry(message.term, future)
        applied = self.applied.get(message.index)
        if applied is not None:
            self._resolve(applied)

    def _send_feed(self, sender: VoterId, request: FeedRequest) -> None:
        if not self.is_caught_up():
            return
        snapshot, entries = self.node.get_feed(request.applied_index)
        self._send(
            sender,
            FeedAnswer(
                snapshot,
                entries,
                self.node.applied_index,
                self.node.voter.state.leader,
                self.node.voter.state.log.get_voters(),
            ),
        )

    def _resolve(self, applied: AppliedEntry) -> None:
        self.applied[applied.index] = applied
        if len(self.applied) > _RETAINED_ENTRIES:
            self.applied.popitem(last=False)
        pending = self.waiting.pop(applied.index, None)
        if pending is None:
            return
        if pending.term == applied.term:
            set_outcome(pending.future, Ok(applied.answer))
        else:
            failure = NotCommittedFailure('another leader took over')
            set_outcome(pending.future, Error(failure))

    def _update_leader(self) -> None:
        state = self.node.voter.state
        self.has_caught_up = self.has_caught_up or self.node.is_up_to_date()
        now = self.get_time()
        self.leader_watch.update(
            state.leader,
            state.term,
            now,
            is_silent=not state.get_recent_leader(now),
        )

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = self.node.voter.get_deadline() - self.get_time()
        loop = get_running_loop()
        self.timer = loop.call_later(max(delay, 0), self._tick)

    def _send(self, receiver: VoterId, message: PeerMessage) -> None:
        own = self.node.voter.state.voter
        self.transport.send(Envelope(self.group, own, receiver, message))

    def _fail(self, error: StorageError) -> None:
        failure = self.recovery.start(error)
        for pending in self.waiting.values():
            set_outcome(pending.future, Error(failure))
        self.waiting.clear()
        for proposal in self.batch.drain():
            set_outcome(proposal.future, Error(failure))


def _send_position(
    send: Callable[[ForwardAnswer], None],
    position: ForwardAnswer,
    future: 'Future[ProposalOutcome]',
) -> None:
    """Send the log position of a committed proposal to its sender.

    A sender that gets no position stops waiting after its timeout.
    """
    if future.result().is_ok():
        send(position)
