"""Base class of the committers of records."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.records import Record

__all__ = ('Committer',)


class Committer(ABC):
    """Commits records to the replicated log."""

    @abstractmethod
    async def commit(
        self,
        records: Sequence[Record],
    ) -> Result[None, Failure]:
        """Commit records and wait until they are applied."""
