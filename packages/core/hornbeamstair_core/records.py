"""Records of the replicated log and the tables that they change."""

from abc import ABC, abstractmethod
from typing import Any, ClassVar

from attrs import frozen

__all__ = ('Record', 'RecordTable')


@frozen
class Record(ABC):
    """Change of the replicated state, effective once it is committed."""

    kind: ClassVar[str]


class RecordTable(ABC):
    """Part of the replicated state that one set of record classes changes."""

    name: ClassVar[str]
    records: ClassVar[tuple[type[Record], ...]]
    # Class of the state that a snapshot holds.
    state_class: ClassVar[type[Any]]

    @abstractmethod
    def apply(self, record: Record) -> object:
        """Apply a committed record; must be deterministic."""

    @abstractmethod
    def get_state(self) -> Any:
        """Get the whole table as an instance of its state class."""

    @abstractmethod
    def restore_state(self, state: Any) -> None:
        """Replace the whole table by a state; None empties it."""
