"""Workers sorted by their preference for new work."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from itertools import islice
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.messages import Resources
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('FreeResourcesIndex',)

# Workers whose hosts are hardest to free come first.
_OCCUPANCY_RANKS: Final = (-2, -1, 0)

# Occupancy rank, free CPU, free memory, worker, session.
_Entry = tuple[int, int, int, WorkerId, WorkerSession]


@define(eq=False)
class FreeResourcesIndex:
    """Workers by occupancy, then by the least free resources.

    Filling occupied workers first leaves others idle, so that their hosts
    can be moved to other pools.
    """

    entries: list[_Entry] = field(factory=list)
    by_session: dict[WorkerSession, _Entry] = field(factory=dict)

    def put(self, session: WorkerSession) -> None:
        """Insert a worker or update its position."""
        entry = _make_entry(session)
        if self.by_session.get(session) == entry:
            return
        self.remove(session)
        self.by_session[session] = entry
        insort(self.entries, entry)

    def remove(self, session: WorkerSession) -> None:
        """Remove a worker."""
        entry = self.by_session.pop(session, None)
        if entry is not None:
            self.entries.pop(bisect_left(self.entries, entry))

    def find_fitting(self, resources: Resources) -> Iterator[WorkerSession]:
        """Yield the workers with enough free CPU and memory, best first."""
        entries = self.entries
        for rank in _OCCUPANCY_RANKS:
            first = bisect_left(entries, (rank, resources.cpu))
            for entry in islice(entries, first, None):
                if entry[0] != rank:
                    break
                if entry[2] >= resources.memory:
                    yield entry[-1]


def _make_entry(session: WorkerSession) -> _Entry:
    free = session.get_free_resources()
    # A long-running task occupies a host longer than other tasks do.
    rank = -bool(session.runs) - bool(session.long_running_count)
    return rank, free.cpu, free.memory, session.announced.worker, session
