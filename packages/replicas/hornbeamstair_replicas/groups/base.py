"""Base class of a replication group."""

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

# An election takes about one second.
_ELECTION_WAIT_SECONDS: Final = 1.5
_RETRY_INTERVAL_SECONDS: Final = 0.05


@frozen
class GroupStatus:
    """State of a replication group as seen by one process."""

    group: str
    role: str
    term: int
    leader: str
    voters: tuple[VoterId, ...]
    applied_index: int


class ReplicaGroup(ABC):
    """Member of a group of processes that commits payloads in one order."""

    @abstractmethod
    def start(self) -> None:
        """Join the group."""

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit a payload and return the outcome of the state machine.

        A payload that is refused because no leader is known was not appended
        to the log, so it is safe to propose it again for the duration of an
        election.
        """
        deadline = monotonic() + _ELECTION_WAIT_SECONDS
        while True:
            outcome = await self.propose_once(payload)
            if outcome.is_ok() or monotonic() >= deadline:
                return outcome
            if not isinstance(outcome.error, NotLeaderFailure):
                return outcome
            await sleep(_RETRY_INTERVAL_SECONDS)

    @abstractmethod
    async def propose_once(self, payload: bytes) -> Result[object, Failure]:
        """Commit a payload without a retry; fail if no leader is known."""

    @abstractmethod
    def get_applied_index(self) -> int:
        """Get the index of the last applied entry."""

    @abstractmethod
    def is_caught_up(self) -> bool:
        """Return whether the state machine is recent enough to act on."""

    @abstractmethod
    def get_status(self) -> GroupStatus:
        """Get the state of the group as seen by this process."""

    @abstractmethod
    def find_leader_role(self) -> Result[LeaderRole, Failure]:
        """Return the leader role; NotLeaderFailure names the known leader."""

    @abstractmethod
    async def stop(self) -> None:
        """Write pending proposals and release resources."""
