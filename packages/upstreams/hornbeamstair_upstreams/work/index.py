"""Index of the workers of one holder."""

from collections import defaultdict

from attrs import define, field

from hornbeamstair_core.ids import RackName, ServiceName
from hornbeamstair_upstreams.work.room_order import RoomOrder
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.watcher import SessionWatcher

__all__ = ('WorkerIndex', 'WorkerPool')


@define(eq=False)
class WorkerPool:
    """Workers of one service by their free room."""

    order: RoomOrder = field(factory=RoomOrder)
    racks: defaultdict[RackName, RoomOrder] = field(
        factory=lambda: defaultdict(RoomOrder),
    )
    # Rack in whose order each worker stands.
    placed: dict[WorkerSession, RackName] = field(factory=dict)

    def put(self, session: WorkerSession) -> None:
        """Put a worker in its place, or in another one."""
        rack = session.announced.rack
        if self.placed.get(session, rack) != rack:
            self.drop(session)
        self.placed[session] = rack
        self.order.put(session)
        self.racks[rack].put(session)

    def drop(self, session: WorkerSession) -> None:
        """Take a worker out."""
        rack = self.placed.pop(session)
        self.order.drop(session)
        self.racks[rack].drop(session)


@define(eq=False)
class WorkerIndex(SessionWatcher):
    """Workers by service; only those that changed are put in place again."""

    pools: defaultdict[ServiceName, WorkerPool] = field(
        factory=lambda: defaultdict(WorkerPool),
    )
    homes: dict[WorkerSession, ServiceName] = field(factory=dict)
    changed: set[WorkerSession] = field(factory=set)
    freed: set[ServiceName] = field(factory=set)
    # Workers with orders to stop, in the order in which they got them.
    stopping: dict[WorkerSession, None] = field(factory=dict)

    def note_changed(self, session: WorkerSession) -> None:
        """Take that a worker has other runs, or says other things of itself."""
        self.changed.add(session)

    def note_freed(self, session: WorkerSession) -> None:
        """Take that a worker may have room for more than before."""
        self.changed.add(session)
        self.freed.add(session.announced.service)

    def note_stop_wanted(self, session: WorkerSession) -> None:
        """Take that a worker is to be told to stop a run."""
        self.stopping[session] = None

    def remove(self, session: WorkerSession) -> None:
        """Forget a worker."""
        self.changed.discard(session)
        self.stopping.pop(session, None)
        home = self.homes.pop(session, None)
        if home is not None:
            self.pools[home].drop(session)

    def take_freed(self) -> set[ServiceName]:
        """Take the services whose workers got room since the last call."""
        freed = self.freed
        self.freed = set()
        return freed

    def get_stopping(self) -> list[WorkerSession]:
        """Get the workers with orders to stop that have no answer."""
        self.stopping = {
            session: None for session in self.stopping if session.stops
        }
        return list(self.stopping)

    def get_pool(self, service: ServiceName) -> WorkerPool:
        """Get the workers of a service."""
        self.refresh()
        return self.pools[service]

    def refresh(self) -> None:
        """Put the workers that changed in their places."""
        for session in self.changed:
            service = session.announced.service
            if self.homes.get(session, service) != service:
                self.pools[self.homes[session]].drop(session)
            self.homes[session] = service
            self.pools[service].put(session)
        self.changed.clear()
