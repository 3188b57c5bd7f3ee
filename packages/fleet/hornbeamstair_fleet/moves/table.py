"""Replicated table of the moves in progress."""

from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import HostId, WorkerId
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_fleet.moves.messages import Move, MoveBegun, MoveEnded

__all__ = ('MoveTable', 'MoveTableState')


@frozen
class MoveTableState:
    """Moves in a snapshot."""

    begun: tuple[Move, ...]


@define(eq=False)
class MoveTable(RecordTable):
    """Moves in progress."""

    name: ClassVar[str] = 'moves'
    records: ClassVar[tuple[type[Record], ...]] = (MoveBegun, MoveEnded)
    state_class: ClassVar[type[Any]] = MoveTableState

    begun: dict[HostId, Move] = field(factory=dict)

    def apply(self, record: Record) -> object:
        """Apply a record."""
        match record:
            case MoveBegun(move):
                # A former holder's record may be late.
                self.begun.setdefault(move.host, move)
            case MoveEnded(host):
                self.begun.pop(host, None)
        return None

    def get_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may leave at any moment."""
        return {move.worker for move in self.begun.values()}

    def get_state(self) -> MoveTableState:
        """Get the moves."""
        return MoveTableState(tuple(self.begun.values()))

    def put_state(self, state: Any) -> None:
        """Replace the moves."""
        begun = () if state is None else state.begun
        self.begun = {move.host: move for move in begun}
