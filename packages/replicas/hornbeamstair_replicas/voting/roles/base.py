"""Base class of the roles of a voter."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import ClassVar

from attrs import define

from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    SnapshotAnswer,
    VoteAnswer,
)
from hornbeamstair_replicas.voting.state import VoterState

__all__ = ('Role', 'RoleName', 'RoleTrigger')


class RoleName(Enum):
    """Name of a role."""

    follower = 'follower'
    pre_candidate = 'pre_candidate'
    candidate = 'candidate'
    leader = 'leader'


class RoleTrigger(Enum):
    """Trigger of a change of role."""

    step_down = 'step_down'
    start_pre_vote = 'start_pre_vote'
    start_vote = 'start_vote'
    win = 'win'


@define(eq=False)
class Role(ABC):
    """Behaviour of a voter; handlers may return a change of role."""

    name: ClassVar[RoleName]

    state: VoterState
    deadline: float

    @abstractmethod
    def enter(self, now: float) -> RoleTrigger | None:
        """Start the role; may return the next change of role."""

    @abstractmethod
    def tick(self, now: float) -> RoleTrigger | None:
        """Handle a deadline that has passed."""

    def handle_vote_answer(
        self,
        sender: VoterId,
        answer: VoteAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Handle a vote; ignored by default."""
        return None

    def handle_append_answer(
        self,
        sender: VoterId,
        answer: AppendAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Handle an answer to entries; ignored by default."""
        return None

    def handle_snapshot_answer(
        self,
        sender: VoterId,
        answer: SnapshotAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Handle an answer to a snapshot chunk; ignored by default."""
        return None
