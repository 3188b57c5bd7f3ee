"""Workers in the order in which they get new work."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from itertools import islice
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.messages import Room
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('RoomOrder',)

# Workers that bind their hosts most come first.
_BONDS: Final = (-2, -1, 0)

# Bond, free processor and memory, worker, and its session.
_Place = tuple[int, int, int, WorkerId, WorkerSession]


@define(eq=False)
class RoomOrder:
    """Workers that have to stay, then those with the least room left.

    Others get idle that way, and their hosts can go where they are needed.
    """

    places: list[_Place] = field(factory=list)
    held: dict[WorkerSession, _Place] = field(factory=dict)

    def put(self, session: WorkerSession) -> None:
        """Put a worker in its place, or in another one."""
        self.drop(session)
        place = _get_place(session)
        self.held[session] = place
        insort(self.places, place)

    def drop(self, session: WorkerSession) -> None:
        """Take a worker out."""
        place = self.held.pop(session, None)
        if place is not None:
            self.places.pop(bisect_left(self.places, place))

    def find_with(self, room: Room) -> Iterator[WorkerSession]:
        """Find the workers with so much room left, the best first."""
        places = self.places
        for bond in _BONDS:
            begin = bisect_left(places, (bond, room.cpu))
            for place in islice(places, begin, None):
                if place[0] != bond:
                    break
                if place[2] >= room.memory:
                    yield place[-1]


def _get_place(session: WorkerSession) -> _Place:
    free = session.get_free()
    # A lasting run binds a host longer than others do.
    bond = -bool(session.runs) - bool(session.lasting)
    return bond, free.cpu, free.memory, session.announced.worker, session
