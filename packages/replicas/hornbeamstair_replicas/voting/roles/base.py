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
    """Event that leads to another role."""

    step_down = 'step_down'
    start_pre_vote = 'start_pre_vote'
    start_vote = 'start_vote'
    win = 'win'


@define(eq=False)
class Role(ABC):
    """Behaviour of a voter; each event may lead to another role."""

    name: ClassVar[RoleName]

    state: VoterState
    deadline: float

    @abstractmethod
    def enter(self, now: float) -> RoleTrigger | None:
        """Begin the role."""

    @abstractmethod
    def tick(self, now: float) -> RoleTrigger | None:
        """Act on a deadline that passed."""

    def receive_vote(
        self,
        sender: VoterId,
        answer: VoteAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Take an answer to a request for a vote; most roles ignore it."""
        return None

    def receive_append(
        self,
        sender: VoterId,
        answer: AppendAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Take an answer to entries; most roles ignore it."""
        return None

    def receive_snapshot(
        self,
        sender: VoterId,
        answer: SnapshotAnswer,
        now: float,
    ) -> RoleTrigger | None:
        """Take an answer to a snapshot; most roles ignore it."""
        return None
