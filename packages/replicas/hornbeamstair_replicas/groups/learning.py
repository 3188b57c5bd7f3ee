"""Group membership of a learner: it follows the log without a vote."""

from asyncio import Future, TimerHandle, get_running_loop, timeout
from collections.abc import Callable
from typing import Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
)
from hornbeamstair_replicas.groups.base import GroupStatus, ReplicaGroup
from hornbeamstair_replicas.learning.source import FeedSource
from hornbeamstair_replicas.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    VoterId,
)
from hornbeamstair_replicas.peer_messages import (
    Envelope,
    FeedAnswer,
    FeedRequest,
    ForwardAnswer,
    ForwardRequest,
    PeerMessage,
)
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_replicas.voter_ids import get_address, get_process
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('LearnerGroup',)

_POLL_SECONDS: Final = 0.5
_COMMIT_SECONDS: Final = 2.0
_KEPT_ENTRIES: Final = 1024

Answer = Result[object, Failure]


@define(eq=False)
class LearnerGroup(ReplicaGroup):
    """State machine fed by another process of the group."""

    group: str
    state_machine: StateMachine
    source: FeedSource
    transport: PeerTransport
    get_time: Callable[[], float]
    applied_index: int = field(default=0, init=False)
    last_term: int = field(default=0, init=False)
    leader: VoterId = field(default=VoterId(''), init=False)
    voters: tuple[VoterId, ...] = field(default=(), init=False)
    has_been_fed: bool = field(default=False, init=False)
    entries: list[LogEntry] = field(factory=list, init=False)
    answers: dict[int, object] = field(factory=dict, init=False)
    forwarded: dict[int, 'Future[Answer]'] = field(factory=dict, init=False)
    placed: dict[int, 'Future[Answer]'] = field(factory=dict, init=False)
    last_number: int = field(default=0, init=False)
    timer: TimerHandle | None = field(default=None, init=False)

    def start(self) -> None:
        """Ask for the newest state."""
        self.transport.add_receiver(self.group, self._receive)
        self._poll()

    async def propose_once(self, payload: bytes) -> Answer:
        """Have the leader commit a payload; answer once it is applied."""
        if not self.leader:
            return Error(NotLeaderFailure(''))
        answer: Future[Answer] = get_running_loop().create_future()
        self.last_number += 1
        self.forwarded[self.last_number] = answer
        self._send(self.leader, ForwardRequest(self.last_number, payload))
        try:
            async with timeout(_COMMIT_SECONDS):
                return await answer
        except TimeoutError:
            # Another process may know a newer leader by now.
            self.leader = VoterId('')
            return Error(NotCommittedFailure('no answer of the leader'))

    def get_applied_index(self) -> int:
        """Get the index of the last entry that was applied."""
        return self.applied_index

    def is_fed(self) -> bool:
        """Tell whether the state was fed since the start."""
        return self.has_been_fed

    def get_status(self) -> GroupStatus:
        """Get the state of the group as this process knows it."""
        return GroupStatus(
            group=self.group,
            role='learner',
            term=self.last_term,
            leader=self.leader,
            voters=self.voters,
            applied_index=self.applied_index,
        )

    def find_leading_role(self) -> Result[LeaderRole, Failure]:
        """Name the voter that leads."""
        return Error(NotLeaderFailure(self.leader))

    async def stop(self) -> None:
        """Stop to ask."""
        if self.timer is not None:
            self.timer.cancel()

    def _poll(self) -> None:
        process = self.source.choose(self.get_time())
        if process is not None:
            self._ask(get_address(process))
        loop = get_running_loop()
        self.timer = loop.call_later(_POLL_SECONDS, self._poll)

    def _ask(self, receiver: VoterId) -> None:
        self._send(receiver, FeedRequest(self.applied_index))

    def _receive(self, sender: VoterId, message: PeerMessage) -> None:
        match message:
            case FeedAnswer():
                self._take_feed(get_process(sender), message)
            case FeedRequest():
                self._feed(sender, message)
            case ForwardAnswer():
                self._take_place(sender, message)

    def _take_feed(self, process: ProcessId, feed: FeedAnswer) -> None:
        self.source.note_answer(process, self.get_time())
        if feed.leader:
            self.leader = feed.leader
            self.voters = feed.voters
        if feed.applied_index > self.applied_index:
            self._take_news(feed)
        if feed.applied_index == self.applied_index:
            self.has_been_fed = True

    def _take_news(self, feed: FeedAnswer) -> None:
        snapshot = feed.snapshot
        if snapshot is not None and snapshot.index > self.applied_index:
            self.state_machine.restore(snapshot.state)
            self.applied_index = snapshot.index
            self.entries.clear()
        for entry in feed.entries:
            if entry.index > self.applied_index:
                self._apply(entry)

    def _apply(self, entry: LogEntry) -> None:
        check_invariant(
            entry.index == self.applied_index + 1,
            'entries are applied in order',
            f'{self.group}: {entry.index} after {self.applied_index}',
        )
        self.applied_index = entry.index
        self.last_term = entry.term
        self._keep(entry)
        if entry.kind != EntryKind.payload:
            return
        outcome = self.state_machine.apply(entry.index, entry.payload)
        self.answers[entry.index] = outcome
        self.answers.pop(entry.index - _KEPT_ENTRIES, None)
        placed = self.placed.pop(entry.index, None)
        if placed is not None and not placed.done():
            placed.set_result(Ok(outcome))

    def _keep(self, entry: LogEntry) -> None:
        self.entries.append(entry)
        if len(self.entries) > 2 * _KEPT_ENTRIES:
            self.entries = self.entries[_KEPT_ENTRIES:]

    def _feed(self, sender: VoterId, request: FeedRequest) -> None:
        if self.has_been_fed:
            self._send(sender, self._get_feed(request.applied_index))

    def _get_feed(self, applied_index: int) -> FeedAnswer:
        entries = tuple(
            entry for entry in self.entries if entry.index > applied_index
        )
        snapshot = None
        is_covered = entries and entries[0].index == applied_index + 1
        if applied_index < self.applied_index and not is_covered:
            state = self.state_machine.get_snapshot()
            snapshot = Snapshot(self.applied_index, self.last_term, state)
            entries = ()
        return FeedAnswer(
            snapshot,
            entries,
            self.applied_index,
            self.leader,
            self.voters,
        )

    def _take_place(self, sender: VoterId, message: ForwardAnswer) -> None:
        answer = self.forwarded.pop(message.number, None)
        if answer is None or answer.done():
            return
        if message.index == 0:
            self.leader = VoterId('')
            answer.set_result(Error(NotLeaderFailure('')))
        elif message.index <= self.applied_index:
            answer.set_result(self._get_answer(message.index))
        else:
            self.placed[message.index] = answer
            self._ask(sender)

    def _get_answer(self, index: int) -> Answer:
        try:
            return Ok(self.answers[index])
        except KeyError:
            # A snapshot covered the entry: its answer was never seen here.
            return Error(NotCommittedFailure('the answer is not held here'))

    def _send(self, receiver: VoterId, message: PeerMessage) -> None:
        own = self.transport.own
        self.transport.send(Envelope(self.group, own, receiver, message))
