"""Role of the voter that leads."""

from collections.abc import Iterable
from typing import ClassVar

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.failures import (
    MembershipFailure,
    NotLeaderFailure,
)
from hornbeamstair_replicas.messages import EntryKind, LogEntry, VoterId
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    SnapshotAnswer,
    TransferRequest,
)
from hornbeamstair_replicas.voting.replicator import Replicator
from hornbeamstair_replicas.voting.roles.base import (
    Role,
    RoleName,
    RoleTrigger,
)

__all__ = ('LeaderRole',)


@define(eq=False)
class LeaderRole(Role):
    """Leader: replicates its log and commits with a quorum."""

    name: ClassVar[RoleName] = RoleName.leader

    first_index: int = 0
    replicator: Replicator = field(init=False)
    joining: VoterId | None = None
    transfer_target: VoterId | None = None
    transfer_deadline: float = 0
    has_lease: bool = True

    def __attrs_post_init__(self) -> None:
        """Start to replicate the shared log."""
        self.replicator = Replicator(self.state)

    @property
    def learners(self) -> tuple[VoterId, ...]:
        """Processes that are kept up to date and do not vote."""
        return self.replicator.learners

    def enter(self, now: float) -> RoleTrigger | None:
        """Tell the other voters and commit an entry of this term."""
        state = self.state
        state.is_transfer = False
        state.hear_leader(state.voter, now)
        self.first_index = state.log.last_index + 1
        self.replicator.put_peers(state.get_peers(), now)
        state.append(
            (LogEntry(self.first_index, state.term, b'', EntryKind.empty),)
        )
        self._send_heartbeats(now)
        return None

    def tick(self, now: float) -> RoleTrigger | None:
        """Send heartbeats; step down without a quorum."""
        timing = self.state.timing
        if not self.replicator.has_quorum(now, timing.election_max):
            return RoleTrigger.step_down
        self.state.hear_leader(self.state.voter, now)
        if self.transfer_target and now >= self.transfer_deadline:
            self.transfer_target = None
        if now >= self.deadline:
            self._send_heartbeats(now)
        return None

    def propose(
        self,
        payloads: tuple[bytes, ...],
        now: float,
    ) -> Result[range, Failure]:
        """Append payloads; return the indexes of their entries."""
        if self.transfer_target is not None:
            return Error(NotLeaderFailure(self.transfer_target))
        first_index = self.state.log.last_index + 1
        entries = tuple(
            LogEntry(index, self.state.term, payload)
            for index, payload in enumerate(payloads, first_index)
        )
        self.state.append(entries)
        self.replicator.send_entries(now)
        return Ok(range(first_index, first_index + len(entries)))

    def add_voter(self, voter: VoterId, now: float) -> Result[None, Failure]:
        """Bring a new voter up to date; it votes as soon as it is."""
        if voter in self.state.log.get_voters():
            return Error(MembershipFailure(f'{voter} is a voter already'))
        if not self.can_change_voters():
            return _refuse_change()
        self.joining = voter
        self.put_learners((*self.learners, voter), now)
        self._check_joining(now)
        return Ok(None)

    def put_learners(self, learners: Iterable[VoterId], now: float) -> None:
        """Keep these processes up to date beside the voters."""
        known = self.learners
        wanted = dict.fromkeys(learners)
        if self.joining is not None:
            wanted[self.joining] = None
        self.replicator.learners = tuple(wanted)
        if self.learners != known:
            self.replicator.put_peers(self.state.get_peers(), now)
        for learner in set(self.learners).difference(known):
            self.replicator.send(learner, now)

    def get_caught_up(self, now: float) -> list[VoterId]:
        """Get the learners that could vote at once."""
        return [
            learner
            for learner in self.learners
            if self.replicator.is_caught_up(learner, now)
        ]

    def can_change_voters(self) -> bool:
        """Tell whether no change of the voters may be in progress."""
        state = self.state
        if self.joining is not None or state.commit_index < self.first_index:
            # A change of an earlier leader may still be committed elsewhere.
            return False
        return state.log.get_voters_index() <= state.commit_index

    def get_silence(self, voter: VoterId, now: float) -> float:
        """Get the seconds since a peer last answered."""
        progress = self.replicator.peers.get(voter)
        return 0 if progress is None else now - progress.acknowledged_at

    def remove_voter(self, voter: VoterId, now: float) -> Result[None, Failure]:
        """Remove a voter with the next commit."""
        voters = self.state.log.get_voters()
        if voter not in voters:
            return Error(MembershipFailure(f'{voter} is no voter'))
        if not self.can_change_voters():
            return _refuse_change()
        if len(voters) == 1:
            return Error(MembershipFailure('the last voter must stay'))
        remaining = tuple(found for found in voters if found != voter)
        self._put_voters(remaining, now)
        return Ok(None)

    def transfer(self, target: VoterId, now: float) -> Result[None, Failure]:
        """Hand the leadership to another voter."""
        if target not in self.state.get_peers():
            return Error(MembershipFailure(f'{target} is no other voter'))
        self.transfer_target = target
        self.transfer_deadline = now + self.state.timing.election_max
        # The target may win at any time from now on, however late it hears.
        self.has_lease = False
        self._check_transfer()
        return Ok(None)

    def can_read(self, now: float) -> bool:
        """Tell whether no other leader can have committed anything."""
        if self.state.commit_index < self.first_index or not self.has_lease:
            return False
        return self.replicator.has_quorum(now, self.state.timing.lease)

    def receive_append(
        self,
        sender: VoterId,
        answer: AppendAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Take what a peer holds; commit and send what is next."""
        progress = self.replicator.peers.get(sender)
        if progress is None:
            return None
        is_current = self.replicator.take_append_answer(progress, answer)
        if is_current and self.replicator.has_more(sender):
            self.replicator.send(sender, now)
        return self._advance(now)

    def receive_snapshot(
        self,
        sender: VoterId,
        answer: SnapshotAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Send the next part of a snapshot, or entries after it."""
        progress = self.replicator.peers.get(sender)
        if progress is None:
            return None
        if self.replicator.take_snapshot_answer(progress, answer):
            self.replicator.send(sender, now)
        return self._advance(now)

    def advance_commit(self) -> None:
        """Commit what a quorum has synced in this term."""
        state = self.state
        voters = state.log.get_voters()
        matches = sorted(map(self.replicator.get_match, voters), reverse=True)
        index = matches[len(voters) // 2]
        is_own_term = state.log.find_term(index) == state.term
        if index > state.commit_index and is_own_term:
            state.commit(index)

    def _advance(self, now: float) -> RoleTrigger | None:
        state = self.state
        committed = state.commit_index
        self.advance_commit()
        self._check_joining(now)
        self._check_transfer()
        if state.commit_index > committed:
            self.replicator.send_entries(now)
        return RoleTrigger.step_down if self._was_removed() else None

    def _was_removed(self) -> bool:
        state = self.state
        if state.is_voter():
            return False
        return state.commit_index >= state.log.get_voters_index()

    def _put_voters(self, voters: tuple[VoterId, ...], now: float) -> None:
        state = self.state
        index = state.log.last_index + 1
        state.append(
            (LogEntry(index, state.term, b'', EntryKind.voters, voters),),
        )
        self.replicator.put_peers(state.get_peers(), now)
        self.replicator.send_entries(now)

    def _check_joining(self, now: float) -> None:
        joining = self.joining
        if joining is None or not self.replicator.is_caught_up(joining, now):
            return
        self.joining = None
        self._put_voters((*self.state.log.get_voters(), joining), now)

    def _check_transfer(self) -> None:
        target = self.transfer_target
        if target is None:
            return
        if self.replicator.get_match(target) == self.state.log.last_index:
            self.state.send(target, TransferRequest(self.state.term))

    def _send_heartbeats(self, now: float) -> None:
        self.deadline = now + self.state.timing.heartbeat
        self.replicator.broadcast(now)


def _refuse_change() -> Result[None, Failure]:
    return Error(MembershipFailure('another change is in progress'))
