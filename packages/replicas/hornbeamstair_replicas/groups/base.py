"""Base class of a group that agrees on one log."""

from abc import ABC, abstractmethod
from asyncio import sleep
from time import monotonic
from typing import Final

from attrs import frozen
from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.failures import NotLeaderFailure
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('GroupStatus', 'ReplicaGroup')

# An election takes about a second.
_LEADER_SECONDS: Final = 1.5
_PAUSE_SECONDS: Final = 0.05


@frozen
class GroupStatus:
    """State of a group as one process knows it."""

    group: str
    role: str
    term: int
    leader: str
    voters: tuple[VoterId, ...]
    applied_index: int


class ReplicaGroup(ABC):
    """Group of voters that commits payloads in one order."""

    @abstractmethod
    def start(self) -> None:
        """Read the stored log and bring the state machine up to date."""

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit a payload and return the answer of the state machine.

        While no voter leads, it is tried again for a short time: a payload
        that was refused has no place in the log.
        """
        end = monotonic() + _LEADER_SECONDS
        while True:
            outcome = await self.propose_once(payload)
            if outcome.is_ok() or monotonic() >= end:
                return outcome
            if not isinstance(outcome.error, NotLeaderFailure):
                return outcome
            await sleep(_PAUSE_SECONDS)

    @abstractmethod
    async def propose_once(self, payload: bytes) -> Result[object, Failure]:
        """Commit a payload, or refuse it if no voter is known to lead."""

    @abstractmethod
    def get_applied_index(self) -> int:
        """Get the index of the last entry that was applied."""

    @abstractmethod
    def is_fed(self) -> bool:
        """Tell whether the state machine may be acted on."""

    @abstractmethod
    def get_status(self) -> GroupStatus:
        """Get the state of the group as this process knows it."""

    @abstractmethod
    def find_leading_role(self) -> Result[LeaderRole, Failure]:
        """Find the role of a leader, or name the voter that leads."""

    @abstractmethod
    async def stop(self) -> None:
        """Commit what is pending and release the storage."""
