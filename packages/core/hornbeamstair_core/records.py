"""Records of the replicated log and the tables that they change."""

from abc import ABC, abstractmethod
from typing import Any, ClassVar

from attrs import frozen

__all__ = ('Record', 'RecordTable')


@frozen
class Record(ABC):
    """Change of the replicated state, committed before it counts."""

    kind: ClassVar[str]


class RecordTable(ABC):
    """Part of the replicated state that one family of records changes."""

    name: ClassVar[str]
    records: ClassVar[tuple[type[Record], ...]]
    # Class of the state that a snapshot holds.
    state_class: ClassVar[type[Any]]

    @abstractmethod
    def apply(self, record: Record) -> object:
        """Apply a committed record; equal on every process."""

    @abstractmethod
    def get_state(self) -> Any:
        """Get the whole table as an instance of its state class."""

    @abstractmethod
    def put_state(self, state: Any) -> None:
        """Replace the whole table; None empties it."""
