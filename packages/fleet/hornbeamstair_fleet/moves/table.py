"""Replicated table of the hosts that are away from home."""

from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import HostId, PoolName
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_fleet.moves.messages import Move, MoveBegun, MoveEnded

__all__ = ('MoveTable', 'MoveTableState')


@frozen
class MoveTableState:
    """Moves in a snapshot."""

    begun: tuple[Move, ...]
    homes: dict[HostId, PoolName]


@define(eq=False)
class MoveTable(RecordTable):
    """Moves in progress, and the first pool of each host moved."""

    name: ClassVar[str] = 'moves'
    records: ClassVar[tuple[type[Record], ...]] = (MoveBegun, MoveEnded)
    state_class: ClassVar[type[Any]] = MoveTableState

    begun: dict[HostId, Move] = field(factory=dict)
    homes: dict[HostId, PoolName] = field(factory=dict)

    def apply(self, record: Record) -> object:
        """Apply a record."""
        match record:
            case MoveBegun(move):
                self.begun[move.host] = move
                self.homes.setdefault(move.host, move.home)
            case MoveEnded(host):
                self.begun.pop(host, None)
        return None

    def get_state(self) -> MoveTableState:
        """Get the moves."""
        return MoveTableState(tuple(self.begun.values()), dict(self.homes))

    def put_state(self, state: Any) -> None:
        """Replace the moves."""
        begun = () if state is None else state.begun
        self.begun = {move.host: move for move in begun}
        self.homes = {} if state is None else dict(state.homes)
