"""Base class of changes to the control state."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import frozen
from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import RequestId
from hornbeamstair_operators.tables import ControlTables

__all__ = ('Change', 'ChangeRequest')


@frozen
class Change(ABC):
    """Change to one subject, a contract or a pool, of the control state."""

    kind: ClassVar[str]

    @abstractmethod
    def get_subject(self) -> str:
        """Get the key of the subject, for which revisions are counted."""

    @abstractmethod
    def check(self, tables: ControlTables) -> Result[None, Failure]:
        """Refuse a change that the tables do not allow."""

    @abstractmethod
    def apply(self, tables: ControlTables) -> None:
        """Apply a change that passed the check."""


@frozen
class ChangeRequest:
    """Change with its request id and the expected revision of its subject."""

    request_id: RequestId
    expected_revision: int | None
    change: Change
