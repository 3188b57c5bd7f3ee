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
    """Change to one subject of the control state."""

    kind: ClassVar[str]

    @abstractmethod
    def get_subject(self) -> str:
        """Get the name under which revisions are counted."""

    @abstractmethod
    def check(self, tables: ControlTables) -> Result[None, Failure]:
        """Refuse a change that the tables do not allow."""

    @abstractmethod
    def apply(self, tables: ControlTables) -> None:
        """Carry out a change that was checked."""


@frozen
class ChangeRequest:
    """Change with the identity of its request and the expected revision."""

    request_id: RequestId
    expected_revision: int | None
    change: Change
