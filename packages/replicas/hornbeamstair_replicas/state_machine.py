"""Base class of the state machine of a replicated log."""

from abc import ABC, abstractmethod

__all__ = ('StateMachine',)


class StateMachine(ABC):
    """State that only committed entries change."""

    @abstractmethod
    def apply(self, index: int, payload: bytes) -> object:
        """Apply a committed entry and return the answer to its proposer."""

    @abstractmethod
    def get_snapshot(self) -> bytes:
        """Encode the whole state as bytes."""

    @abstractmethod
    def restore(self, state: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
