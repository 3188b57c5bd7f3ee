"""Selection of the worker for a task."""

from collections.abc import Iterable, Iterator

from attrs import define, field

from hornbeamstair_core.ids import RackName, ServiceName
from hornbeamstair_upstreams.work.free_resources import FreeResourcesIndex
from hornbeamstair_upstreams.work.index import ServiceWorkers, WorkerIndex
from hornbeamstair_upstreams.work.isolation import Isolation
from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds
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
    ) -> WorkerSession | None:
        """Choose a worker; None if no worker fits.

        Workers on the preferred rack come first.
        """
        if self.is_unplaceable(needs, phase_id, isolation):
            return None
        workers = self.index.get_service_workers(self.service)
        for candidates in _get_candidates(workers, needs, phase_id):
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
                return chosen
        if excluded is None:
            constraints = _get_constraints(needs, phase_id, isolation)
            self.unplaceable.setdefault(constraints, []).append(
                get_used_resources(needs),
            )
        return None

    def release_run(self, session: WorkerSession, run: Run) -> None:
        """Release the resources of a run that will not be started."""
        session.remove_run(run.task)
        self.unplaceable.clear()

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
        candidates: FreeResourcesIndex,
        needs: TaskNeeds,
        phase_id: str,
    ) -> Iterator[WorkerSession]:
        for session in candidates.find_fitting(get_used_resources(needs)):
            if session in self.unavailable:
                continue
            self.stats.examined += 1
            if not session.may_start(self.now):
                self.unavailable.add(session)
            elif _fits(session, needs, phase_id):
                yield session


def _get_candidates(
    workers: ServiceWorkers,
    needs: TaskNeeds,
    phase_id: str,
) -> Iterator[FreeResourcesIndex]:
    rack = needs.data_rack
    if needs.one_rack and not rack:
        rack = _find_rack(workers.indexed_racks, phase_id)
    on_rack = workers.by_rack.get(RackName(rack))
    if on_rack is not None:
        yield on_rack
    yield workers.all_workers


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


def _find_rack(sessions: Iterable[WorkerSession], phase_id: str) -> str:
    for session in sessions:
        if session.count_phase_runs(phase_id):
            return session.announced.rack
    return ''
