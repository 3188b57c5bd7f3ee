"""Selection of the worker for a task."""

from collections.abc import Collection, Iterable, Iterator

from attrs import define, field

from hornbeamstair_core.ids import RackName, ServiceName
from hornbeamstair_upstreams.work.free_resources import FreeResourcesIndex
from hornbeamstair_upstreams.work.index import ServiceWorkers, WorkerIndex
from hornbeamstair_upstreams.work.isolation import Isolation
from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds
from hornbeamstair_upstreams.work.places.waits import PlaceWish, RackWaits
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_used_resources,
)
from hornbeamstair_upstreams.work.stats import PlacementStats

__all__ = ('Placement',)


# Requirements apart from the resources that decide whether a task fits.
_Constraints = tuple[str, str, bool, bool, Isolation]


@define(eq=False)
class Placement:
    """One placement pass over a service; free resources only decrease.

    Keeps a pass cheap when the workers are full and many tasks wait: once a
    request does not fit, no request with the same constraints and at least
    the same resources is tried.
    """

    index: WorkerIndex
    service: ServiceName
    now: float
    stats: PlacementStats = field(factory=PlacementStats)
    # Resource requests that fit on no worker, by constraints.
    unplaceable: dict[_Constraints, list[Resources]] = field(
        factory=dict,
        init=False,
    )
    # Workers found to accept no new work.
    unavailable: set[WorkerSession] = field(factory=set, init=False)
    # Waits for racks; None if no task waits.
    rack_waits: RackWaits | None = None

    def is_unplaceable(
        self,
        needs: TaskNeeds,
        phase_id: str,
        isolation: Isolation = Isolation.none,
    ) -> bool:
        """Return whether a request that is no larger has already failed."""
        constraints = _get_constraints(needs, phase_id, isolation)
        failed = self.unplaceable.get(constraints)
        if not failed:
            return False
        resources = get_used_resources(needs)
        return any(map(resources.fits, failed))

    def choose(
        self,
        needs: TaskNeeds,
        phase_id: str,
        excluded: WorkerSession | None = None,
        isolation: Isolation = Isolation.none,
        wish: PlaceWish | None = None,
    ) -> WorkerSession | None:
        """Choose a worker; None if no worker fits, or the wish is to wait.

        Workers on the preferred rack come first.
        """
        if wish is not None:
            wish.is_waiting = False
        if self.is_unplaceable(needs, phase_id, isolation):
            return None
        workers = self.index.get_service_workers(self.service)
        rack = self._find_rack(workers, needs, phase_id, wish)
        on_rack = workers.by_rack.get(rack)
        for candidates in (on_rack, workers.all_workers):
            fitting = (
                session
                for session in self._find_fitting(candidates, needs, phase_id)
                if session is not excluded
                and session.isolated_runs.allow(
                    isolation, session.runs.values()
                )
            )
            chosen = self._choose_first(fitting, isolation)
            if chosen is not None:
                must_wait = self._must_wait(wish, needs, rack, chosen)
                return None if must_wait else chosen
        if excluded is None:
            constraints = _get_constraints(needs, phase_id, isolation)
            self.unplaceable.setdefault(constraints, []).append(
                get_used_resources(needs),
            )
        return None

    def note_placed(
        self,
        needs: TaskNeeds,
        phase_id: str,
        sessions: Collection[WorkerSession],
    ) -> None:
        """Note where the tasks of a phase are placed."""
        has_wish = needs.data_rack or needs.one_rack
        if has_wish and sessions and self.rack_waits is not None:
            self.rack_waits.note_placed(phase_id, needs, sessions)

    def release_run(self, session: WorkerSession, run: Run) -> None:
        """Release the resources of a run that will not be started."""
        session.remove_run(run.task)
        self.unplaceable.clear()

    def _must_wait(
        self,
        wish: PlaceWish | None,
        needs: TaskNeeds,
        rack: RackName,
        chosen: WorkerSession,
    ) -> bool:
        """Return whether a task waits for its rack instead of the worker."""
        is_near = not rack or chosen.announced.rack == rack
        if is_near or wish is None or self.rack_waits is None:
            return False
        workers = self.index.get_service_workers(self.service)
        on_rack = workers.by_rack.get(rack)
        return on_rack is not None and self.rack_waits.should_wait(
            wish, needs, rack, on_rack.by_session
        )

    def _find_rack(
        self,
        workers: ServiceWorkers,
        needs: TaskNeeds,
        phase_id: str,
        wish: PlaceWish | None,
    ) -> RackName:
        """Find the rack that a task prefers; empty if there is none."""
        if needs.data_rack or not needs.one_rack:
            return RackName(needs.data_rack)
        rack = _find_rack_of_phase(workers.indexed_racks, phase_id)
        if rack or wish is None:
            return rack
        return max(
            workers.by_rack,
            key=lambda name: self._count_free_cpu(workers.by_rack[name]),
            default=rack,
        )

    def _count_free_cpu(self, on_rack: FreeResourcesIndex) -> int:
        return sum(
            session.get_free_resources().cpu
            for session in on_rack.by_session
            if session.may_start(self.now)
        )

    def _choose_first(
        self,
        fitting: Iterator[WorkerSession],
        isolation: Isolation,
    ) -> WorkerSession | None:
        """Choose the preferred worker, or the one with the least to lose."""
        if isolation < Isolation.from_starts:
            return next(fitting, None)
        return min(
            fitting,
            key=lambda session: (session.is_new(self.now), len(session.runs)),
            default=None,
        )

    def _find_fitting(
        self,
        candidates: FreeResourcesIndex | None,
        needs: TaskNeeds,
        phase_id: str,
    ) -> Iterator[WorkerSession]:
        if candidates is None:
            return
        for session in candidates.find_fitting(get_used_resources(needs)):
            if session in self.unavailable:
                continue
            self.stats.examined += 1
            if not session.may_start(self.now):
                self.unavailable.add(session)
            elif _fits(session, needs, phase_id):
                yield session


def _fits(session: WorkerSession, needs: TaskNeeds, phase_id: str) -> bool:
    """Return whether a worker meets the requirements of a task."""
    if not session.get_free_resources().fits(get_used_resources(needs)):
        return False
    if not session.has_label(needs):
        return False
    limit = needs.spread_limit
    if limit and session.count_phase_runs(phase_id) >= limit:
        return False
    return not _would_interfere(session, needs)


def _get_constraints(
    needs: TaskNeeds,
    phase_id: str,
    isolation: Isolation,
) -> _Constraints:
    spread = f'{needs.spread_limit} {phase_id}' if needs.spread_limit else ''
    return (
        needs.label,
        spread,
        needs.fills,
        bool(needs.target_seconds),
        isolation,
    )


def _would_interfere(session: WorkerSession, needs: TaskNeeds) -> bool:
    """Return whether a backfill and a serving task would share a worker."""
    if needs.fills:
        return session.serves_requests()
    if needs.target_seconds:
        return any(run.needs.fills for run in session.runs.values())
    return False


def _find_rack_of_phase(
    sessions: Iterable[WorkerSession],
    phase_id: str,
) -> RackName:
    for session in sessions:
        if session.count_phase_runs(phase_id):
            return session.announced.rack
    return RackName('')
