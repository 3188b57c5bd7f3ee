"""Group whose voters are processes joined by a transport."""

from asyncio import Future, TimerHandle, get_running_loop, timeout
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from typing import Final

from attrs import Factory, define, field
from expression import Error, Ok, Result

from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.events import (
    LeaderChangedEvent,
    StorageFailedEvent,
)
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
    StorageFailure,
)
from hornbeamstair_replicas.groups.base import GroupStatus, ReplicaGroup
from hornbeamstair_replicas.groups.forwarding import (
    Answer,
    ForwardedProposals,
    Payload,
    Proposal,
    WaitingProposer,
    refuse_former,
    set_answer,
)
from hornbeamstair_replicas.groups.node import AppliedEntry, LogNode
from hornbeamstair_replicas.groups.pace import ProposalBatch
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

_COMMIT_SECONDS: Final = 2.0
_KEPT_ANSWERS: Final = 1024


def _make_batch(group: 'VotingGroup') -> ProposalBatch:
    return ProposalBatch(group.node.get_batch_delay, group.propose_all)


@define(eq=False)
class VotingGroup(ReplicaGroup):
    """Group of voters; proposals that come close together share a sync.

    A proposal that finds no leader is refused; one that was forwarded and
    got no place in the log is unknown after a timeout.
    """

    group: str
    node: LogNode
    transport: PeerTransport
    get_time: Callable[[], float]
    batch: ProposalBatch = field(
        default=Factory(_make_batch, takes_self=True),
        init=False,
    )
    waiting: dict[int, WaitingProposer] = field(factory=dict, init=False)
    forwarded: ForwardedProposals = field(
        factory=ForwardedProposals,
        init=False,
    )
    answers: OrderedDict[int, AppliedEntry] = field(
        factory=OrderedDict,
        init=False,
    )
    leader: VoterId = field(default=VoterId(''), init=False)
    has_heard_leader: bool = field(default=False, init=False)
    failure: Failure | None = field(default=None, init=False)
    timer: TimerHandle | None = field(default=None, init=False)
    is_scheduled: bool = field(default=False, init=False)

    def start(self) -> None:
        """Take part in the group; a sole voter leads at once."""
        self.transport.add_receiver(self.group, self._receive)
        self._tick()
        self._flush()

    async def propose_once(
        self,
        payload: Payload,
        seconds: float = _COMMIT_SECONDS,
        term: int | None = None,
    ) -> Answer:
        """Commit a payload and return the answer of the state machine.

        With a term it is refused once this process does not lead that term
        any more, unless it was written before.
        """
        if self.failure is not None:
            return Error(self.failure)
        answer: Future[Answer] = get_running_loop().create_future()
        self.batch.add(Proposal(payload, answer, term))
        try:
            async with timeout(seconds):
                return await answer
        except TimeoutError:
            return Error(NotCommittedFailure('no quorum in time'))

    def propose_all(self, proposals: list[Proposal]) -> None:
        """Write a batch of proposals, or pass them on to the leader."""
        self._schedule()
        voter = self.node.voter
        led = None if voter.leading is None else voter.state.term
        standing = refuse_former(proposals, led)
        if not standing:
            return
        payloads = tuple(proposal.write() for proposal in standing)
        indexes = self.node.voter.propose(payloads, self.get_time())
        if indexes.is_error():
            self._forward(standing, payloads)
            return
        term = self.node.voter.state.term
        for index, proposal in zip(indexes.ok, standing, strict=True):
            self.waiting[index] = WaitingProposer(term, proposal.answer)

    def get_applied_index(self) -> int:
        """Get the index of the last entry that was applied."""
        return self.node.applied_index

    def is_fed(self) -> bool:
        """Tell whether a leader was heard since the start."""
        return self.has_heard_leader and self.node.voter.state.is_voter()

    def get_status(self) -> GroupStatus:
        """Get the state of the group as this process knows it."""
        state = self.node.voter.state
        return GroupStatus(
            group=self.group,
            role=self.node.voter.role.name.value,
            term=state.term,
            leader=state.leader,
            voters=state.log.get_voters(),
            applied_index=self.node.applied_index,
        )

    def find_leading_role(self) -> Result[LeaderRole, Failure]:
        """Find the role of a leader, or name the voter that leads."""
        self._schedule()
        return self.node.voter.find_leader_role()

    def can_serve(self) -> bool:
        """Tell whether this process leads and its state is the newest.

        What an earlier leader committed is committed again by the first
        entry of the term, and counts here only once it is applied.
        """
        role = self.node.voter.leading
        if role is None or self.failure is not None:
            return False
        if self.node.applied_index < role.first_index:
            return False
        return role.can_read(self.get_time())

    async def stop(self) -> None:
        """Commit what is pending and release the storage."""
        self.batch.flush()
        self._flush()
        if self.timer is not None:
            self.timer.cancel()
        self.node.storage.close()

    def _receive(self, sender: VoterId, message: PeerMessage) -> None:
        if self.failure is not None:
            return
        match message:
            case VoterMessage():
                self.node.voter.receive(sender, message, self.get_time())
                self._schedule()
            case ForwardRequest():
                self._propose_for(sender, message)
            case ForwardAnswer():
                self._take_place(message)
            case FeedRequest():
                self._feed(sender, message)

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            get_running_loop().call_soon(self._flush)

    def _tick(self) -> None:
        self.timer = None
        self.node.voter.tick(self.get_time())
        self._flush()

    def _flush(self) -> None:
        self.is_scheduled = False
        if self.failure is not None:
            return
        try:
            flushed = self.node.flush()
        except StorageError as error:
            self._fail(str(error))
            return
        for sent in flushed.messages:
            self._send(sent.receiver, sent.message)
        for applied in flushed.applied:
            self._answer(applied)
        self._note_leader()
        self._set_timer()

    def _forward(
        self,
        proposals: list[Proposal],
        payloads: tuple[bytes, ...],
    ) -> None:
        leader = self.node.voter.state.leader
        for proposal, payload in zip(proposals, payloads, strict=True):
            if leader in {'', self.node.voter.state.voter}:
                set_answer(proposal.answer, Error(NotLeaderFailure(leader)))
                continue
            number = self.forwarded.add(proposal.answer)
            self._send(leader, ForwardRequest(number, payload))

    def _propose_for(self, sender: VoterId, request: ForwardRequest) -> None:
        indexes = self.node.voter.propose((request.payload,), self.get_time())
        if indexes.is_error():
            self._send(sender, ForwardAnswer(request.number, 0, 0))
            return
        term = self.node.voter.state.term
        index = indexes.ok[0]
        answer: Future[Answer] = get_running_loop().create_future()
        place = ForwardAnswer(request.number, index, term)
        send = partial(self._send, sender)
        answer.add_done_callback(partial(_send_place, send, place))
        self.waiting[index] = WaitingProposer(term, answer)
        self._schedule()

    def _take_place(self, message: ForwardAnswer) -> None:
        answer = self.forwarded.pop(message.number)
        if answer is None:
            return
        if not message.index:
            set_answer(answer, Error(NotLeaderFailure('')))
            return
        self.waiting[message.index] = WaitingProposer(message.term, answer)
        applied = self.answers.get(message.index)
        if applied is not None:
            self._answer(applied)

    def _feed(self, sender: VoterId, request: FeedRequest) -> None:
        if not self.is_fed():
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

    def _answer(self, applied: AppliedEntry) -> None:
        self.answers[applied.index] = applied
        if len(self.answers) > _KEPT_ANSWERS:
            self.answers.popitem(last=False)
        waiting = self.waiting.pop(applied.index, None)
        if waiting is None:
            return
        if waiting.term == applied.term:
            set_answer(waiting.answer, Ok(applied.answer))
        else:
            failure = NotCommittedFailure('another leader took over')
            set_answer(waiting.answer, Error(failure))

    def _note_leader(self) -> None:
        state = self.node.voter.state
        self.has_heard_leader = self.has_heard_leader or bool(state.leader)
        if state.leader != self.leader:
            self.leader = state.leader
            log_event(LeaderChangedEvent(self.group, state.leader, state.term))

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = self.node.voter.get_deadline() - self.get_time()
        loop = get_running_loop()
        self.timer = loop.call_later(max(delay, 0), self._tick)

    def _send(self, receiver: VoterId, message: PeerMessage) -> None:
        own = self.node.voter.state.voter
        self.transport.send(Envelope(self.group, own, receiver, message))

    def _fail(self, reason: str) -> None:
        log_event(StorageFailedEvent(self.group, reason))
        failure = StorageFailure(reason)
        self.failure = failure
        for waiting in self.waiting.values():
            set_answer(waiting.answer, Error(failure))
        self.waiting.clear()
        for proposal in self.batch.take():
            set_answer(proposal.answer, Error(failure))


def _send_place(
    send: Callable[[ForwardAnswer], None],
    place: ForwardAnswer,
    done: 'Future[Answer]',
) -> None:
    """Tell a sender its place; without one the sender gives up by itself."""
    if done.result().is_ok():
        send(place)
