"""Base class of observers of worker sessions."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hornbeamstair_upstreams.work.runs import Run
    from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('NoObserver', 'SessionObserver')


class SessionObserver(ABC):
    """Observer that is notified of each change of a worker session."""

    @abstractmethod
    def on_changed(self, session: 'WorkerSession') -> None:
        """Handle a change of the announcement or reservation of a worker."""

    @abstractmethod
    def on_run_added(self, session: 'WorkerSession', run: 'Run') -> None:
        """Handle a run that takes resources of a worker from now on."""

    @abstractmethod
    def on_run_removed(self, session: 'WorkerSession', run: 'Run') -> None:
        """Handle a run whose resources are free again."""

    @abstractmethod
    def on_freed(self, session: 'WorkerSession') -> None:
        """Handle a worker that may have more free resources than before."""

    @abstractmethod
    def on_stop_requested(self, session: 'WorkerSession') -> None:
        """Handle a request to stop a run of a worker."""

    @abstractmethod
    def on_check_due(self, session: 'WorkerSession') -> None:
        """Handle a worker that has to be checked with the next tick."""


class NoObserver(SessionObserver):
    """Observer of a session that is not part of an index."""

    def on_changed(self, session: 'WorkerSession') -> None:
        """Ignore the change."""

    def on_run_added(self, session: 'WorkerSession', run: 'Run') -> None:
        """Ignore the run."""

    def on_run_removed(self, session: 'WorkerSession', run: 'Run') -> None:
        """Ignore the run."""

    def on_freed(self, session: 'WorkerSession') -> None:
        """Ignore the free resources."""

    def on_stop_requested(self, session: 'WorkerSession') -> None:
        """Ignore the request."""

    def on_check_due(self, session: 'WorkerSession') -> None:
        """Ignore the check."""
