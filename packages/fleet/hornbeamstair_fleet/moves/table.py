"""Replicated table of the moves in progress."""

from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import HostId, WorkerId
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_fleet.moves.messages import Move, MoveFinished, MoveStarted

__all__ = ('MoveTable', 'MoveTableState')


@frozen
class MoveTableState:
    """Moves in progress, as stored in a snapshot."""

    # Stored under this name.
    begun: tuple[Move, ...]


@define(eq=False)
class MoveTable(RecordTable):
    """Moves in progress by their host."""

    name: ClassVar[str] = 'moves'
    records: ClassVar[tuple[type[Record], ...]] = (MoveStarted, MoveFinished)
    state_class: ClassVar[type[Any]] = MoveTableState

    in_progress: dict[HostId, Move] = field(factory=dict)

    def apply(self, record: Record) -> object:
        """Apply a record."""
        match record:
            case MoveStarted(move):
                # A record of a previous leader may be applied late.
                self.in_progress.setdefault(move.host, move)
            case MoveFinished(host):
                self.in_progress.pop(host, None)
        return None

    def get_ordered_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may be moved at any moment."""
        return {move.worker for move in self.in_progress.values()}

    def get_state(self) -> MoveTableState:
        """Get the moves for a snapshot."""
        return MoveTableState(tuple(self.in_progress.values()))

    def restore_state(self, state: Any) -> None:
        """Replace the moves by those of a snapshot."""
        begun = () if state is None else state.begun
        self.in_progress = {move.host: move for move in begun}
