"""Base class of what follows the changes of workers."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('SessionWatcher',)


class SessionWatcher(ABC):
    """Part that is told of each change of a worker, so that it need not ask."""

    @abstractmethod
    def note_changed(self, session: 'WorkerSession') -> None:
        """Take that a worker has other runs, or says other things of itself."""

    @abstractmethod
    def note_freed(self, session: 'WorkerSession') -> None:
        """Take that a worker may have room for more than before."""

    @abstractmethod
    def note_stop_wanted(self, session: 'WorkerSession') -> None:
        """Take that a worker is to be told to stop a run."""
