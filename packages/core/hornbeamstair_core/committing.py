"""Way by which decisions become durable."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.records import Record

__all__ = ('Committer',)


class Committer(ABC):
    """Way to commit records to the replicated log."""

    @abstractmethod
    async def commit(
        self,
        records: Sequence[Record],
    ) -> Result[None, Failure]:
        """Commit records; they are applied when it returns."""
