"""Membership of a learner, which applies the log without a vote."""

from asyncio import Future, TimerHandle, get_running_loop, timeout
from collections.abc import Callable
from typing import Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_replicas.call_numbers import CallNumbers
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
from hornbeamstair_replicas.voting.entry_log import take_batch
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('LearnerGroup',)

_POLL_INTERVAL_SECONDS: Final = 0.5
_COMMIT_TIMEOUT_SECONDS: Final = 2.0
_RETAINED_ENTRIES: Final = 1024

ProposalOutcome = Result[object, Failure]


@define(eq=False)
class LearnerGroup(ReplicaGroup):
    """Member without a vote that polls another process for new entries."""

    group: str
    state_machine: StateMachine
    source: FeedSource
    transport: PeerTransport
    get_time: Callable[[], float]
    applied_index: int = field(default=0, init=False)
    last_term: int = field(default=0, init=False)
    leader: VoterId = field(default=VoterId(''), init=False)
    voters: tuple[VoterId, ...] = field(default=(), init=False)
    has_caught_up: bool = field(default=False, init=False)
    entries: list[LogEntry] = field(factory=list, init=False)
    outcomes: dict[int, object] = field(factory=dict, init=False)
    # Own proposals without a log position, by number.
    forwarded: dict[int, 'Future[ProposalOutcome]'] = field(
        factory=dict, init=False
    )
    # Own proposals that are in the log but not applied here, by index.
    unapplied: dict[int, 'Future[ProposalOutcome]'] = field(
        factory=dict, init=False
    )
    numbers: CallNumbers = field(factory=CallNumbers, init=False)
    timer: TimerHandle | None = field(default=None, init=False)

    def start(self) -> None:
        """Start polling for new entries."""
        self.transport.add_receiver(self.group, self._handle_message)
        self._poll()

    async def propose_once(self, payload: bytes) -> ProposalOutcome:
        """Forward a payload to the leader and wait until it is applied here."""
        if not self.leader:
            return Error(NotLeaderFailure(''))
        future: Future[ProposalOutcome] = get_running_loop().create_future()
        number = self.numbers.take()
        self.forwarded[number] = future
        self._send(self.leader, ForwardRequest(number, payload))
        try:
            async with timeout(_COMMIT_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            # The leader may have changed; the next poll returns the new one.
            self.leader = VoterId('')
            return Error(NotCommittedFailure('no answer from the leader'))

    def get_applied_index(self) -> int:
        """Get the index of the last applied entry."""
        return self.applied_index

    def is_caught_up(self) -> bool:
        """Return whether this learner has caught up with a source."""
        return self.has_caught_up

    def get_status(self) -> GroupStatus:
        """Get the state of the group as seen by this process."""
        return GroupStatus(
            group=self.group,
            role='learner',
            term=self.last_term,
            leader=self.leader,
            voters=self.voters,
            applied_index=self.applied_index,
        )

    def find_leader_role(self) -> Result[LeaderRole, Failure]:
        """Fail with the known leader: a learner never leads."""
        return Error(NotLeaderFailure(self.leader))

    async def stop(self) -> None:
        """Stop polling."""
        if self.timer is not None:
            self.timer.cancel()

    def _poll(self) -> None:
        process = self.source.choose(self.get_time())
        if process is not None:
            self._request_feed(get_address(process))
        loop = get_running_loop()
        self.timer = loop.call_later(_POLL_INTERVAL_SECONDS, self._poll)

    def _request_feed(self, receiver: VoterId) -> None:
        self._send(receiver, FeedRequest(self.applied_index))

    def _handle_message(self, sender: VoterId, message: PeerMessage) -> None:
        match message:
            case FeedAnswer():
                self._handle_feed(get_process(sender), message)
            case FeedRequest():
                self._send_feed(sender, message)
            case ForwardAnswer():
                self._handle_position(sender, message)

    def _handle_feed(self, process: ProcessId, feed: FeedAnswer) -> None:
        self.source.handle_answer(process, self.get_time())
        if feed.leader:
            self.leader = feed.leader
            self.voters = feed.voters
        known_index = self.applied_index
        if feed.applied_index > known_index:
            self._apply_feed(feed)
        if feed.applied_index == self.applied_index:
            self.has_caught_up = True
        elif self.applied_index > known_index:
            # The rest of the entries did not fit into the answer.
            self._request_feed(get_address(process))

    def _apply_feed(self, feed: FeedAnswer) -> None:
        snapshot = feed.snapshot
        if snapshot is not None and snapshot.index > self.applied_index:
            self.state_machine.restore(snapshot.state)
            self.applied_index = snapshot.index
            self.entries.clear()
        for entry in feed.entries:
            if entry.index > self.applied_index + 1:
                # The feed is for a previous process, which had applied more.
                return
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
        self._retain(entry)
        if entry.kind != EntryKind.payload:
            return
        outcome = self.state_machine.apply(entry.index, entry.payload)
        self.outcomes[entry.index] = outcome
        self.outcomes.pop(entry.index - _RETAINED_ENTRIES, None)
        future = self.unapplied.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(Ok(outcome))

    def _retain(self, entry: LogEntry) -> None:
        self.entries.append(entry)
        if len(self.entries) > 2 * _RETAINED_ENTRIES:
            self.entries = self.entries[_RETAINED_ENTRIES:]

    def _send_feed(self, sender: VoterId, request: FeedRequest) -> None:
        if self.has_caught_up:
            self._send(sender, self._make_feed(request.applied_index))

    def _make_feed(self, applied_index: int) -> FeedAnswer:
        entries = take_batch(
            entry for entry in self.entries if entry.index > applied_index
        )
        snapshot = None
        is_contiguous = entries and entries[0].index == applied_index + 1
        if applied_index < self.applied_index and not is_contiguous:
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

    def _handle_position(
        self,
        sender: VoterId,
        message: ForwardAnswer,
    ) -> None:
        future = self.forwarded.pop(message.number, None)
        if future is None or future.done():
            return
        if message.index == 0:
            self.leader = VoterId('')
            future.set_result(Error(NotLeaderFailure('')))
        elif message.index <= self.applied_index:
            future.set_result(self._get_outcome(message.index))
        else:
            self.unapplied[message.index] = future
            self._request_feed(sender)

    def _get_outcome(self, index: int) -> ProposalOutcome:
        try:
            return Ok(self.outcomes[index])
        except KeyError:
            # The entry came within a snapshot, so it was not applied here.
            return Error(
                NotCommittedFailure('the answer is not known to this process'),
            )

    def _send(self, receiver: VoterId, message: PeerMessage) -> None:
        own = self.transport.own
        self.transport.send(Envelope(self.group, own, receiver, message))
