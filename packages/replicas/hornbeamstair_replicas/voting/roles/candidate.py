"""Roles of a voter that asks for votes."""

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

__all__ = ('CandidateRole', 'PreCandidateRole', 'VoteSeekerRole')


@define(eq=False)
class VoteSeekerRole(Role):
    """Role that counts the votes that it is granted."""

    granted: set[VoterId] = field(factory=set)

    @abstractmethod
    def make_request(self) -> VoteRequest:
        """Make the request for votes."""

    @abstractmethod
    def get_success(self) -> RoleTrigger:
        """Get the event that a quorum of votes leads to."""

    def enter(self, now: float) -> RoleTrigger | None:
        """Ask the other voters."""
        state = self.state
        self.deadline = state.get_election_deadline(now)
        self.granted = {state.voter}
        request = self.make_request()
        for peer in state.get_peers():
            state.send(peer, request)
        return self._count()

    def tick(self, now: float) -> RoleTrigger | None:
        """Give up when the votes do not arrive in time."""
        return None if now < self.deadline else RoleTrigger.step_down

    def receive_vote(
        self,
        sender: VoterId,
        answer: VoteAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Count a vote."""
        request = self.make_request()
        is_mine = answer.is_pre_vote == request.is_pre_vote
        if is_mine and answer.is_granted and answer.term == request.term:
            self.granted.add(sender)
        return self._count()

    def _count(self) -> RoleTrigger | None:
        if self.state.is_quorum(self.granted):
            return self.get_success()
        return None


@define(eq=False)
class PreCandidateRole(VoteSeekerRole):
    """Pre-candidate: asks whether an election would succeed."""

    name: ClassVar[RoleName] = RoleName.pre_candidate

    def make_request(self) -> VoteRequest:
        """Ask for the next term without entering it."""
        return VoteRequest(
            self.state.term + 1,
            self.state.log.last_index,
            self.state.log.last_term,
            is_pre_vote=True,
        )

    def get_success(self) -> RoleTrigger:
        """Stand for election."""
        return RoleTrigger.start_vote


@define(eq=False)
class CandidateRole(VoteSeekerRole):
    """Candidate: asks for votes in a new term."""

    name: ClassVar[RoleName] = RoleName.candidate

    def enter(self, now: float) -> RoleTrigger | None:
        """Enter a new term and vote for itself."""
        self.state.cast_vote(self.state.term + 1, self.state.voter)
        return VoteSeekerRole.enter(self, now)

    def make_request(self) -> VoteRequest:
        """Ask for votes in the current term."""
        return VoteRequest(
            self.state.term,
            self.state.log.last_index,
            self.state.log.last_term,
            is_pre_vote=False,
            is_transfer=self.state.is_transfer,
        )

    def get_success(self) -> RoleTrigger:
        """Lead."""
        return RoleTrigger.win
