"""Roles of a voter that requests votes."""

from abc import abstractmethod
from typing import ClassVar

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.voting.messages import VoteAnswer, VoteRequest
from hornbeamstair_replicas.voting.roles.base import (
    Role,
    RoleName,
    RoleTrigger,
)

__all__ = ('CandidateRole', 'PreCandidateRole', 'CampaignRole')


@define(eq=False)
class CampaignRole(Role):
    """Role that requests votes and counts those granted."""

    granted: set[VoterId] = field(factory=set)

    @abstractmethod
    def make_request(self) -> VoteRequest:
        """Create the request for votes."""

    @abstractmethod
    def get_quorum_trigger(self) -> RoleTrigger:
        """Return the trigger to fire on a quorum of votes."""

    def enter(self, now: float) -> RoleTrigger | None:
        """Request votes from the other voters."""
        state = self.state
        self.deadline = state.get_election_deadline(now)
        self.granted = {state.voter}
        request = self.make_request()
        for peer in state.get_peers():
            state.send(peer, request)
        return self._check_quorum()

    def tick(self, now: float) -> RoleTrigger | None:
        """Step down if the election timed out."""
        return None if now < self.deadline else RoleTrigger.step_down

    def handle_vote_answer(
        self,
        sender: VoterId,
        answer: VoteAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Count a vote of the current request."""
        request = self.make_request()
        is_same_kind = answer.is_pre_vote == request.is_pre_vote
        if is_same_kind and answer.is_granted and answer.term == request.term:
            self.granted.add(sender)
        return self._check_quorum()

    def _check_quorum(self) -> RoleTrigger | None:
        if self.state.is_quorum(self.granted):
            return self.get_quorum_trigger()
        return None


@define(eq=False)
class PreCandidateRole(CampaignRole):
    """Pre-candidate: checks whether it could win an election."""

    name: ClassVar[RoleName] = RoleName.pre_candidate

    def make_request(self) -> VoteRequest:
        """Create a request for pre-votes; the next term is not entered."""
        return VoteRequest(
            self.state.term + 1,
            self.state.log.last_index,
            self.state.log.last_term,
            is_pre_vote=True,
        )

    def get_quorum_trigger(self) -> RoleTrigger:
        """Return the trigger that starts the election."""
        return RoleTrigger.start_vote


@define(eq=False)
class CandidateRole(CampaignRole):
    """Candidate: requests votes in a new term."""

    name: ClassVar[RoleName] = RoleName.candidate

    def enter(self, now: float) -> RoleTrigger | None:
        """Enter a new term and vote for itself."""
        self.state.cast_vote(self.state.term + 1, self.state.voter)
        return CampaignRole.enter(self, now)

    def make_request(self) -> VoteRequest:
        """Create a request for votes in the current term."""
        return VoteRequest(
            self.state.term,
            self.state.log.last_index,
            self.state.log.last_term,
            is_pre_vote=False,
            is_transfer=self.state.is_transfer,
        )

    def get_quorum_trigger(self) -> RoleTrigger:
        """Return the trigger that makes this voter the leader."""
        return RoleTrigger.win
