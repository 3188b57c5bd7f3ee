"""Free resources of the workers for tasks that wait."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_callers.workspaces.quotas import (
    StartQuotas,
    count_fitting,
)
from hornbeamstair_core.ids import ServiceName, WorkspaceName
from hornbeamstair_upstreams.work.messages import Resources
from hornbeamstair_upstreams.work.obstacles import Obstacle
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_used_resources,
)

__all__ = ('SparePlaces', 'Supply')

# Each shape of a phase costs a pass over the workers of its service; phases
# beyond these count as without resources until the next look.
_MAX_SHAPES: Final = 20


class Supply(Enum):
    """Whether workers have the resources for a task."""

    usable = 'usable'
    # Only workers that the leader does not use have them.
    unused = 'unused'
    # No worker has them, or the quota of the workspace is used up.
    missing = 'missing'


@define(eq=False)
class SparePlaces:
    """Workers of each service, by whether the leader uses them."""

    quotas: StartQuotas
    usable: dict[ServiceName, list[WorkerSession]]
    unusable: dict[ServiceName, list[tuple[Obstacle, WorkerSession]]]
    supplies: dict[str, Supply] = field(factory=dict, init=False)
    known: dict[tuple[object, ...], bool] = field(factory=dict, init=False)
    # Most of each resource that is free on one worker, by service and use.
    largest: dict[tuple[ServiceName, str], Resources] = field(
        factory=dict, init=False
    )

    @classmethod
    def make(
        cls,
        sessions: Iterable[WorkerSession],
        quotas: StartQuotas,
        now: float,
    ) -> 'SparePlaces':
        """Divide the workers that do not end."""
        usable: defaultdict[ServiceName, list[WorkerSession]] = defaultdict(
            list
        )
        unusable: defaultdict[
            ServiceName, list[tuple[Obstacle, WorkerSession]]
        ] = defaultdict(list)
        for session in sessions:
            service = session.announced.service
            obstacle = session.find_obstacle(now)
            if obstacle is None:
                usable[service].append(session)
            elif obstacle is not Obstacle.ending:
                unusable[service].append((obstacle, session))
        return cls(quotas, usable, unusable)

    def find_supply(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
        ready: ReadyPhase,
    ) -> Supply:
        """Find out whether there are resources for tasks of a phase."""
        supply = self.supplies.get(ready.phase_id)
        if supply is None:
            supply = self._compare(service, workspace, ready)
            self.supplies[ready.phase_id] = supply
        return supply

    def count_obstacles(
        self, services: Iterable[ServiceName]
    ) -> dict[str, int]:
        """Count the workers that are not used, by the reason."""
        return dict(
            Counter(
                obstacle.value
                for service in services
                for obstacle, _ in self.unusable.get(service, ())
            ),
        )

    def _compare(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
        ready: ReadyPhase,
    ) -> Supply:
        if not self._is_within_quota(workspace, ready):
            return Supply.missing
        if self._has_places(self.usable.get(service, []), 'usable', ready):
            return Supply.usable
        unusable = [session for _, session in self.unusable.get(service, ())]
        if self._has_places(unusable, 'unusable', ready):
            return Supply.unused
        return Supply.missing

    def _is_within_quota(
        self, workspace: WorkspaceName, ready: ReadyPhase
    ) -> bool:
        allowance = self.quotas.get_allowance(workspace)
        if allowance is None:
            return True
        fitting = count_fitting(allowance, ready.phase.needs.room)
        return fitting >= _count_least(ready)

    def _has_places(
        self,
        sessions: list[WorkerSession],
        kind: str,
        ready: ReadyPhase,
    ) -> bool:
        needs = ready.phase.needs
        least = _count_least(ready)
        phase_id = ready.phase_id if needs.spread_limit else ''
        if not sessions:
            return False
        service = sessions[0].announced.service
        if not self._get_largest(service, kind, sessions).fits(
            get_used_resources(needs)
        ):
            return False
        shape = (
            kind,
            service,
            needs.room,
            needs.label,
            needs.fills,
            phase_id,
            least,
        )
        if shape not in self.known and len(self.known) < _MAX_SHAPES:
            self.known[shape] = _has_least(sessions, ready, least)
        return self.known.get(shape, False)

    def _get_largest(
        self,
        service: ServiceName,
        kind: str,
        sessions: list[WorkerSession],
    ) -> Resources:
        largest = self.largest.get((service, kind))
        if largest is None:
            largest = _find_largest(sessions)
            self.largest[service, kind] = largest
        return largest


def _find_largest(sessions: Iterable[WorkerSession]) -> Resources:
    free = [session.get_free_resources() for session in sessions]
    return Resources(
        max((resources.cpu for resources in free), default=-1),
        max((resources.memory for resources in free), default=-1),
        max((resources.accelerators for resources in free), default=-1),
    )


def _count_least(ready: ReadyPhase) -> int:
    """Count the tasks that can only start together."""
    return ready.phase.count if ready.phase.is_gang else 1


def _has_least(
    sessions: Iterable[WorkerSession],
    ready: ReadyPhase,
    least: int,
) -> bool:
    found = 0
    for session in sessions:
        found += _count_places(session, ready)
        if found >= least:
            return True
    return False


def _count_places(session: WorkerSession, ready: ReadyPhase) -> int:
    needs = ready.phase.needs
    if not session.has_label(needs):
        return 0
    if needs.fills and session.serves_requests():
        return 0
    fitting = count_fitting(
        session.get_free_resources(), get_used_resources(needs)
    )
    if needs.spread_limit:
        left = needs.spread_limit - session.count_phase_runs(ready.phase_id)
        return min(fitting, left)
    return fitting
