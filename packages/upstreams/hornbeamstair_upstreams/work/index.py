"""Index of the workers by service and free resources."""

from collections import defaultdict

from attrs import define, field

from hornbeamstair_core.ids import RackName, ServiceName
from hornbeamstair_upstreams.work.check_schedule import CheckSchedule
from hornbeamstair_upstreams.work.free_resources import FreeResourcesIndex
from hornbeamstair_upstreams.work.observer import SessionObserver
from hornbeamstair_upstreams.work.phase_runs import PhaseRuns
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('ServiceWorkers', 'WorkerIndex')


@define(eq=False)
class ServiceWorkers:
    """Workers of one service, sorted by free resources."""

    all_workers: FreeResourcesIndex = field(factory=FreeResourcesIndex)
    by_rack: defaultdict[RackName, FreeResourcesIndex] = field(
        factory=lambda: defaultdict(FreeResourcesIndex),
    )
    # Rack under which each worker is indexed.
    indexed_racks: dict[WorkerSession, RackName] = field(factory=dict)

    def put(self, session: WorkerSession) -> None:
        """Insert a worker or update its position."""
        rack = session.announced.rack
        if self.indexed_racks.get(session, rack) != rack:
            self.remove(session)
        self.indexed_racks[session] = rack
        self.all_workers.put(session)
        self.by_rack[rack].put(session)

    def remove(self, session: WorkerSession) -> None:
        """Remove a worker."""
        rack = self.indexed_racks.pop(session)
        self.all_workers.remove(session)
        self.by_rack[rack].remove(session)


@define(eq=False)
class WorkerIndex(SessionObserver):
    """Workers by service; only changed workers are indexed again."""

    services: defaultdict[ServiceName, ServiceWorkers] = field(
        factory=lambda: defaultdict(ServiceWorkers),
    )
    indexed_services: dict[WorkerSession, ServiceName] = field(factory=dict)
    changed: set[WorkerSession] = field(factory=set)
    freed: set[ServiceName] = field(factory=set)
    # Workers with pending stop orders, in the order of the first request.
    stopping: dict[WorkerSession, None] = field(factory=dict)
    checks: CheckSchedule = field(factory=CheckSchedule)
    phase_runs: PhaseRuns = field(factory=PhaseRuns)
    # Workers that are reserved or leave.
    draining: dict[WorkerSession, None] = field(factory=dict)

    def on_changed(self, session: WorkerSession) -> None:
        """Queue a worker for an update of its position."""
        self.changed.add(session)

    def on_run_added(self, session: WorkerSession, run: Run) -> None:
        """Index a run, and queue its worker."""
        self.phase_runs.add(session, run)
        self.changed.add(session)

    def on_run_removed(self, session: WorkerSession, run: Run) -> None:
        """Remove a run, and queue its worker, which has free resources."""
        self.phase_runs.discard(run)
        self.on_freed(session)

    def on_freed(self, session: WorkerSession) -> None:
        """Queue a worker whose free resources may have grown."""
        self.changed.add(session)
        self.freed.add(session.announced.service)

    def on_stop_requested(self, session: WorkerSession) -> None:
        """Queue a worker with a stop order to send."""
        self.stopping[session] = None

    def on_check_due(self, session: WorkerSession) -> None:
        """Schedule a check of a worker with the next tick."""
        self.checks.add(session, 0)

    def remove(self, session: WorkerSession) -> None:
        """Remove a worker."""
        self.changed.discard(session)
        self.stopping.pop(session, None)
        self.draining.pop(session, None)
        self.checks.remove(session)
        for run in session.runs.values():
            self.phase_runs.discard(run)
        service = self.indexed_services.pop(session, None)
        if service is not None:
            self.services[service].remove(session)

    def drain_freed(self) -> set[ServiceName]:
        """Return and clear the services with newly freed resources."""
        freed = self.freed
        self.freed = set()
        return freed

    def get_stopping(self) -> list[WorkerSession]:
        """Return the workers with unanswered stop orders."""
        self.stopping = {
            session: None for session in self.stopping if session.stops
        }
        return list(self.stopping)

    def get_draining(self) -> list[WorkerSession]:
        """Return the workers that are reserved or leave."""
        self.refresh()
        return list(filter(_is_draining, self.draining))

    def get_service_workers(self, service: ServiceName) -> ServiceWorkers:
        """Return the up-to-date index of the workers of a service."""
        self.refresh()
        return self.services[service]

    def refresh(self) -> None:
        """Update the positions of the changed workers."""
        for session in self.changed:
            service = session.announced.service
            if self.indexed_services.get(session, service) != service:
                self.services[self.indexed_services[session]].remove(session)
            self.indexed_services[session] = service
            self.services[service].put(session)
            if _is_draining(session):
                self.draining[session] = None
            else:
                self.draining.pop(session, None)
        self.changed.clear()


def _is_draining(session: WorkerSession) -> bool:
    return session.is_reserved or session.announced.is_leaving
