"""Raft voter: turns messages, proposals and time into outputs."""

from random import Random
from types import MappingProxyType
from typing import Final

from attrs import define, field
from expression import Error, Result
from transitions import Machine

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.failures import NotLeaderFailure
from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    StoredLog,
    VoterId,
)
from hornbeamstair_replicas.voting.entry_log import open_entry_log
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
    TransferRequest,
    VoteAnswer,
    VoteRequest,
    VoterMessage,
)
from hornbeamstair_replicas.voting.outputs import Outputs
from hornbeamstair_replicas.voting.receiver import LogReceiver
from hornbeamstair_replicas.voting.roles.base import (
    Role,
    RoleName,
    RoleTrigger,
)
from hornbeamstair_replicas.voting.roles.candidate import (
    CandidateRole,
    PreCandidateRole,
)
from hornbeamstair_replicas.voting.roles.follower import FollowerRole
from hornbeamstair_replicas.voting.roles.leader import LeaderRole
from hornbeamstair_replicas.voting.state import VoterState
from hornbeamstair_replicas.voting.timing import Timing

__all__ = ('Voter', 'open_voter')

_ROLES: Final = MappingProxyType(
    {
        role.name: role
        for role in (FollowerRole, PreCandidateRole, CandidateRole, LeaderRole)
    },
)
_FOLLOWER: Final = RoleName.follower.value
_PRE_CANDIDATE: Final = RoleName.pre_candidate.value
_CANDIDATE: Final = RoleName.candidate.value
_LEADER: Final = RoleName.leader.value

_machine: Final = Machine(
    model=None,
    states=[name.value for name in RoleName],
    initial=_FOLLOWER,
    auto_transitions=False,
    transitions=[
        [RoleTrigger.step_down.value, '*', _FOLLOWER],
        [RoleTrigger.start_pre_vote.value, _FOLLOWER, _PRE_CANDIDATE],
        [
            RoleTrigger.start_vote.value,
            [_FOLLOWER, _PRE_CANDIDATE],
            _CANDIDATE,
        ],
        [RoleTrigger.win.value, _CANDIDATE, _LEADER],
    ],
)


@define
class _RoleModel:
    """Model of the role transitions; holds the name of the current role."""

    state: str = _FOLLOWER


@define(eq=False)
class Voter:
    """One voter of a group; does no I/O."""

    state: VoterState
    role: Role
    model: _RoleModel = field(factory=_RoleModel)
    receiver: LogReceiver = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the receiver on the shared state."""
        self.receiver = LogReceiver(self.state)

    def tick(self, now: float) -> None:
        """Handle the deadlines that have passed."""
        self._change_role(self.role.tick(now), now)

    def receive(
        self,
        sender: VoterId,
        message: VoterMessage,
        now: float,
    ) -> None:
        """Handle a message from another voter."""
        if isinstance(message, VoteRequest):
            self._handle_vote_request(sender, message, now)
            return
        if message.term > self.state.term:
            if isinstance(message, VoteAnswer) and message.is_granted:
                # A granted pre-vote carries the next term; do not enter it.
                self._dispatch(sender, message, now)
                return
            self._enter_term(message.term, now)
        if message.term == self.state.term:
            self._dispatch(sender, message, now)
        elif isinstance(message, AppendRequest | SnapshotChunk):
            # The answer tells a previous leader the newer term.
            self.receiver.refuse(sender, message.sent_at)

    def propose(
        self,
        payloads: tuple[bytes, ...],
        now: float,
    ) -> Result[range, Failure]:
        """Append payloads; NotLeaderFailure if this voter does not lead."""
        return self.find_leader_role().bind(
            lambda leader: leader.propose(payloads, now),
        )

    @property
    def leader_role(self) -> LeaderRole | None:
        """Leader role; None if this voter does not lead."""
        return self.role if isinstance(self.role, LeaderRole) else None

    def find_leader_role(self) -> Result[LeaderRole, Failure]:
        """Return the leader role; NotLeaderFailure names the known leader."""
        if self.leader_role is None:
            return Error(NotLeaderFailure(self.state.leader))
        return Result.Ok(self.leader_role)

    def resign(self, now: float) -> None:
        """Stop leading; this voter leads again only in a later term."""
        if self.leader_role is not None:
            self._change_role(RoleTrigger.step_down, now)

    def drain_outputs(self) -> Outputs:
        """Return the outputs since the last call and clear them."""
        outputs = self.state.outputs
        self.state.outputs = Outputs()
        return outputs

    def has_outputs(self) -> bool:
        """Return whether there are pending writes or messages."""
        return not self.state.outputs.is_empty

    def has_lagging_peer(self) -> bool:
        """Return whether this voter leads and a peer is catching up."""
        role = self.leader_role
        return role is not None and role.replicator.has_lagging_peer()

    def set_synced(self) -> None:
        """Mark all entries of this voter as synced."""
        self.state.synced_index = self.state.log.last_index
        if isinstance(self.role, LeaderRole):
            self.role.advance_commit()

    def get_committed(self, applied_index: int) -> tuple[LogEntry, ...]:
        """Return the committed entries after an applied index."""
        count = self.state.commit_index - applied_index
        return self.state.log.get_slice(applied_index + 1, max(count, 0))

    def compact(self, index: int, state: bytes) -> Snapshot:
        """Create a snapshot at an applied index; drop the covered entries."""
        log = self.state.log
        term = log.find_term(index) or 0
        snapshot = Snapshot(index, term, state, log.get_voters_at(index))
        log.compact(snapshot)
        return snapshot

    def get_deadline(self) -> float:
        """Return the time at which `tick` is due."""
        return self.role.deadline

    def _change_role(self, trigger: RoleTrigger | None, now: float) -> None:
        while trigger is not None:
            _machine.events[trigger.value].trigger(self.model)
            role_class = _ROLES[RoleName(self.model.state)]
            self.role = role_class(self.state, now)
            trigger = self.role.enter(now)

    def _enter_term(self, term: int, now: float) -> None:
        self.state.enter_term(term)
        self._change_role(RoleTrigger.step_down, now)

    def _dispatch(
        self,
        sender: VoterId,
        message: VoterMessage,
        now: float,
    ) -> None:
        role = self.role
        match message:
            case VoteAnswer():
                self._change_role(
                    role.handle_vote_answer(sender, message, now),
                    now,
                )
            case AppendRequest():
                self._follow_leader(sender, now)
                self.receiver.append(sender, message)
            case AppendAnswer():
                self._change_role(
                    role.handle_append_answer(sender, message, now),
                    now,
                )
            case SnapshotChunk():
                self._follow_leader(sender, now)
                self.receiver.install(sender, message)
            case SnapshotAnswer():
                self._change_role(
                    role.handle_snapshot_answer(sender, message, now),
                    now,
                )
            case TransferRequest():
                self._start_transfer_election(now)

    def _start_transfer_election(self, now: float) -> None:
        if isinstance(self.role, FollowerRole) and self.state.is_voter():
            self.state.is_transfer = True
            self._change_role(RoleTrigger.start_vote, now)

    def _follow_leader(self, leader: VoterId, now: float) -> None:
        if not isinstance(self.role, FollowerRole):
            self._change_role(RoleTrigger.step_down, now)
        self.state.update_leader_contact(leader, now)
        self.role.tick(now)

    def _handle_vote_request(
        self,
        sender: VoterId,
        request: VoteRequest,
        now: float,
    ) -> None:
        state = self.state
        has_leader = state.has_recent_leader(now) and not request.is_transfer
        is_newer = request.term > state.term
        if is_newer and not (request.is_pre_vote or has_leader):
            self._enter_term(request.term, now)
        is_granted = not has_leader and self._can_grant_vote(sender, request)
        if is_granted and not request.is_pre_vote:
            state.cast_vote(request.term, sender)
            self.role.enter(now)
        answer_term = request.term if is_granted else state.term
        state.send(
            sender,
            VoteAnswer(answer_term, is_granted, request.is_pre_vote),
        )

    def _can_grant_vote(self, sender: VoterId, request: VoteRequest) -> bool:
        state = self.state
        if request.term < state.term:
            return False
        if not state.is_up_to_date(request.last_index, request.last_term):
            return False
        if request.is_pre_vote:
            return request.term > state.term
        is_follower = isinstance(self.role, FollowerRole)
        return is_follower and state.vote.voted_for in {'', sender}


def open_voter(
    voter: VoterId,
    stored_log: StoredLog,
    initial_voters: tuple[VoterId, ...],
    timing: Timing,
    rng: Random,
    now: float,
) -> Voter:
    """Create a voter from its stored state."""
    log = open_entry_log(stored_log, initial_voters)
    state = VoterState(
        voter=voter,
        timing=timing,
        rng=rng,
        log=log,
        vote=stored_log.vote,
        commit_index=log.snapshot.index,
        synced_index=log.last_index,
        leader_contact_at=now,
    )
    role = FollowerRole(state, now)
    role.enter(now)
    if log.get_voters() == (voter,):
        # A single voter has no other leader to wait for.
        state.leader_contact_at = -timing.election_max
        role.deadline = now
    return Voter(state, role)
