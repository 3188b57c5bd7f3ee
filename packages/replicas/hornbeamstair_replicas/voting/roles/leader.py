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
    """Leader: replicates its log and commits entries with a quorum."""

    name: ClassVar[RoleName] = RoleName.leader

    term_start_index: int = 0
    replicator: Replicator = field(init=False)
    joining_voter: VoterId | None = None
    transfer_target: VoterId | None = None
    transfer_deadline: float = 0
    has_lease: bool = True

    def __attrs_post_init__(self) -> None:
        """Create the replicator on the shared state."""
        self.replicator = Replicator(self.state)

    @property
    def learners(self) -> tuple[VoterId, ...]:
        """Non-voting processes that receive the log."""
        return self.replicator.learners

    def enter(self, now: float) -> RoleTrigger | None:
        """Append an empty entry of this term and send heartbeats."""
        state = self.state
        state.is_transfer = False
        state.update_leader_contact(state.voter, now)
        self.term_start_index = state.log.last_index + 1
        self.replicator.set_peers(state.get_peers(), now)
        state.append(
            (
                LogEntry(
                    self.term_start_index, state.term, b'', EntryKind.empty
                ),
            ),
        )
        self._send_heartbeats(now)
        return None

    def tick(self, now: float) -> RoleTrigger | None:
        """Send heartbeats; step down without a quorum or after a transfer."""
        timing = self.state.timing
        if not self.replicator.has_quorum(now, timing.election_max):
            return RoleTrigger.step_down
        self.state.update_leader_contact(self.state.voter, now)
        if self.transfer_target and now >= self.transfer_deadline:
            self.transfer_target = None
            if not self.has_lease:
                # The target may still win: nobody is served in this term.
                return RoleTrigger.step_down
        if now >= self.deadline:
            self._send_heartbeats(now)
        return None

    def propose(
        self,
        payloads: tuple[bytes, ...],
        now: float,
    ) -> Result[range, Failure]:
        """Append payloads and return their indexes."""
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
        """Add a learner and make it a voter once it has caught up."""
        if voter in self.state.log.get_voters():
            return Error(MembershipFailure(f'{voter} is already a voter'))
        if not self.can_change_voters():
            return _refuse_change()
        self.joining_voter = voter
        self.set_learners((*self.learners, voter), now)
        self._promote_joining_voter(now)
        return Ok(None)

    def set_learners(self, learners: Iterable[VoterId], now: float) -> None:
        """Replicate to these learners in addition to the voters."""
        previous = self.learners
        wanted = dict.fromkeys(learners)
        if self.joining_voter is not None:
            wanted[self.joining_voter] = None
        self.replicator.learners = tuple(wanted)
        if self.learners != previous:
            self.replicator.set_peers(self.state.get_peers(), now)
        for learner in set(self.learners).difference(previous):
            self.replicator.send(learner, now)

    def get_caught_up_learners(self, now: float) -> list[VoterId]:
        """Return the learners that have caught up."""
        return [
            learner
            for learner in self.learners
            if self.replicator.is_caught_up(learner, now)
        ]

    def can_change_voters(self) -> bool:
        """Return whether no other change of the voters can be in progress."""
        state = self.state
        if (
            self.joining_voter is not None
            or state.commit_index < self.term_start_index
        ):
            # An uncommitted change of a previous leader may still commit.
            return False
        return state.log.get_voters_index() <= state.commit_index

    def get_contact_age(self, voter: VoterId, now: float) -> float:
        """Return the seconds since the last answer of a peer."""
        progress = self.replicator.peers.get(voter)
        return 0 if progress is None else now - progress.acknowledged_at

    def remove_voter(self, voter: VoterId, now: float) -> Result[None, Failure]:
        """Append an entry that removes a voter."""
        voters = self.state.log.get_voters()
        if voter not in voters:
            return Error(MembershipFailure(f'{voter} is not a voter'))
        if not self.can_change_voters():
            return _refuse_change()
        if len(voters) == 1:
            return Error(MembershipFailure('the last voter cannot be removed'))
        remaining = tuple(other for other in voters if other != voter)
        self._append_voters(remaining, now)
        return Ok(None)

    def transfer(self, target: VoterId, now: float) -> Result[None, Failure]:
        """Transfer the leadership to another voter."""
        if target not in self.state.get_peers():
            return Error(MembershipFailure(f'{target} is not another voter'))
        self.transfer_target = target
        self.transfer_deadline = now + self.state.timing.election_max
        # The target may win from now on, whenever it gets the request.
        self.has_lease = False
        self._request_transfer()
        return Ok(None)

    def can_read(self, now: float) -> bool:
        """Return whether reads are safe: no newer leader can have committed."""
        if (
            self.state.commit_index < self.term_start_index
            or not self.has_lease
        ):
            return False
        return self.replicator.has_quorum(now, self.state.timing.lease)

    def handle_append_answer(
        self,
        sender: VoterId,
        answer: AppendAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Update the progress of a peer; commit and send more entries."""
        progress = self.replicator.peers.get(sender)
        if progress is None:
            return None
        is_current = self.replicator.update_append_progress(progress, answer)
        if is_current and self.replicator.should_send_more(sender):
            self.replicator.send(sender, now)
        return self._advance(now)

    def handle_snapshot_answer(
        self,
        sender: VoterId,
        answer: SnapshotAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Send the next snapshot chunks, or the entries after the snapshot."""
        progress = self.replicator.peers.get(sender)
        if progress is None:
            return None
        if self.replicator.update_snapshot_progress(progress, answer):
            self.replicator.send(sender, now)
        return self._advance(now)

    def advance_commit(self) -> None:
        """Commit the entries of this term that a quorum has synced."""
        state = self.state
        voters = state.log.get_voters()
        match_indexes = sorted(
            map(self.replicator.get_match_index, voters),
            reverse=True,
        )
        index = match_indexes[len(voters) // 2]
        is_own_term = state.log.find_term(index) == state.term
        if index > state.commit_index and is_own_term:
            state.commit(index)

    def _advance(self, now: float) -> RoleTrigger | None:
        state = self.state
        committed = state.commit_index
        self.advance_commit()
        self._promote_joining_voter(now)
        self._request_transfer()
        if state.commit_index > committed:
            self.replicator.send_entries(now)
        return RoleTrigger.step_down if self._is_removed() else None

    def _is_removed(self) -> bool:
        state = self.state
        if state.is_voter():
            return False
        return state.commit_index >= state.log.get_voters_index()

    def _append_voters(self, voters: tuple[VoterId, ...], now: float) -> None:
        state = self.state
        index = state.log.last_index + 1
        state.append(
            (LogEntry(index, state.term, b'', EntryKind.voters, voters),),
        )
        self.replicator.set_peers(state.get_peers(), now)
        self.replicator.send_entries(now)

    def _promote_joining_voter(self, now: float) -> None:
        voter = self.joining_voter
        if voter is None or not self.replicator.is_caught_up(voter, now):
            return
        self.joining_voter = None
        self._append_voters((*self.state.log.get_voters(), voter), now)

    def _request_transfer(self) -> None:
        target = self.transfer_target
        if target is None:
            return
        if self.replicator.get_match_index(target) == self.state.log.last_index:
            self.state.send(target, TransferRequest(self.state.term))

    def _send_heartbeats(self, now: float) -> None:
        self.deadline = now + self.state.timing.heartbeat
        self.replicator.broadcast(now)


def _refuse_change() -> Result[None, Failure]:
    return Error(
        MembershipFailure('another change of the voters is in progress'),
    )
