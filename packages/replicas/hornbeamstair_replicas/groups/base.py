"""Base class of a group that agrees on one log."""

from abc import ABC, abstractmethod

from expression import Result

from hornbeamstair_core.failures import Failure

__all__ = ('ReplicaGroup',)


class ReplicaGroup(ABC):
    """Group of voters that commits payloads in one order."""

    @abstractmethod
    def start(self) -> None:
        """Read the stored log and bring the state machine up to date."""

    @abstractmethod
    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit a payload and return the answer of the state machine."""

    @abstractmethod
    def get_applied_index(self) -> int:
        """Get the index of the last entry that was applied."""

    @abstractmethod
    async def stop(self) -> None:
        """Commit what is pending and release the storage."""
