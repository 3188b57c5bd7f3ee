"""Base class of observers of worker sessions."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('SessionObserver',)


class SessionObserver(ABC):
    """Observer that is notified of each change of a worker session."""

    @abstractmethod
    def on_changed(self, session: 'WorkerSession') -> None:
        """Handle a change of the runs or the announcement of a worker."""

    @abstractmethod
    def on_freed(self, session: 'WorkerSession') -> None:
        """Handle a worker that may have more free resources than before."""

    @abstractmethod
    def on_stop_requested(self, session: 'WorkerSession') -> None:
        """Handle a request to stop a run of a worker."""

    @abstractmethod
    def on_check_due(self, session: 'WorkerSession') -> None:
        """Handle a worker that has to be checked with the next tick."""
