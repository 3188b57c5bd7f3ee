"""Decision which announcements of workers tell the leader nothing new."""

from typing import Final
from zlib import crc32

from attrs import define

from hornbeamstair_upstreams.work.messages import WorkerAnnouncement
from hornbeamstair_upstreams.work.table import WorkerTable

__all__ = ('KnownAnnouncements',)

# With fewer workers, the leader has time for all announcements.
_MIN_WORKERS: Final = 64
# One of so many unchanged announcements goes to the leader, which polls each
# worker more often than a worker announces itself.
_FORWARDED_DIVISOR: Final = 4


@define(eq=False)
class KnownAnnouncements:
    """Announcements that repeat what the replicated table holds.

    Workers announce themselves to any process, so processes choose the ones to
    forward alike without talking to each other.
    """

    table: WorkerTable

    def contains(self, announced: WorkerAnnouncement) -> bool:
        """Return whether the leader need not hear of an announcement.

        One that differs from the table, or is of a leaving worker, is news.
        """
        recorded = self.table.workers.get(announced.worker)
        if recorded is None or len(self.table.workers) < _MIN_WORKERS:
            return False
        if announced.is_leaving or announced.differs(recorded):
            return False
        key = f'{announced.worker} {announced.sequence}'
        return crc32(key.encode()) % _FORWARDED_DIVISOR != 0
