"""Decision which machine of a wave goes down next."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from attrs import define, frozen

from hornbeamstair_core.ids import MachineId, PoolName, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.waves.messages import Machine, MachineState
from hornbeamstair_fleet.waves.table import MachineStep, WaveProgress

__all__ = ('MachineLoad', 'WavePlan', 'WavePlanner')

# Share of a pool that may be kept free of work at a time.
_POOL_SHARE: Final = 0.34
# Time that a machine needs to get free of work and be maintained.
_ROUND_SECONDS: Final = 6.0


@frozen
class MachineLoad:
    """What runs on a machine."""

    runs: int
    # Seconds until its runs would end by themselves.
    rest_seconds: float


@frozen
class WavePlan:
    """Machines to keep free, to free by force, and to order down."""

    reserved: frozenset[WorkerId]
    # Runs are to be stopped, since the deadline is near.
    urgent: frozenset[WorkerId]
    ordered: tuple[Machine, ...]


@define(eq=False)
class WavePlanner:
    """Plan of one wave.

    Machines that need not be freed go first. No more machines are kept
    free than may be down, and no more than a share of a pool, so that the
    pools can serve what comes meanwhile.
    """

    def plan(
        self,
        progress: WaveProgress,
        machines: Mapping[MachineId, Machine],
        loads: Mapping[WorkerId, MachineLoad],
        now: Moment,
    ) -> WavePlan:
        """Plan the next step."""
        room = progress.wave.max_down - progress.count_down()
        waiting = [
            machines[machine]
            for machine in progress.get_machines(MachineStep.waiting)
            if machine in machines
            and machines[machine].state == MachineState.up
        ]
        chosen = self._choose(progress, machines, waiting, loads, room)
        free = [
            machine for machine in chosen if not _get_load(machine, loads).runs
        ]
        is_urgent = _is_urgent(progress, len(waiting), now)
        workers = frozenset(machine.worker for machine in chosen)
        return WavePlan(
            reserved=workers,
            urgent=workers if is_urgent else frozenset(),
            ordered=tuple(free),
        )

    def _choose(
        self,
        progress: WaveProgress,
        machines: Mapping[MachineId, Machine],
        waiting: Iterable[Machine],
        loads: Mapping[WorkerId, MachineLoad],
        room: int,
    ) -> list[Machine]:
        sizes = Counter(machine.pool for machine in machines.values())
        down = Counter(
            machine.pool
            for machine in machines.values()
            if machine.state != MachineState.up
            or progress.steps.get(machine.machine) in _DOWN
        )
        chosen: list[Machine] = []
        by_load = sorted(
            waiting,
            key=lambda found: _get_load(found, loads).rest_seconds,
        )
        for machine in by_load:
            if len(chosen) >= room:
                break
            if down[machine.pool] < _get_limit(sizes, machine.pool):
                down[machine.pool] += 1
                chosen.append(machine)
        return chosen


_DOWN: Final = frozenset((MachineStep.ordered, MachineStep.taken))
_IDLE: Final = MachineLoad(0, 0)


def _get_load(
    machine: Machine,
    loads: Mapping[WorkerId, MachineLoad],
) -> MachineLoad:
    return loads.get(machine.worker, _IDLE)


def _get_limit(sizes: Mapping[PoolName, int], pool: PoolName) -> int:
    return max(int(sizes[pool] * _POOL_SHARE), 1)


def _is_urgent(progress: WaveProgress, waiting: int, now: Moment) -> bool:
    """Tell whether waiting for runs to end would miss the deadline."""
    rounds = 1 + waiting // max(progress.wave.max_down, 1)
    left = progress.wave.deadline - now.wall
    return left < rounds * _ROUND_SECONDS
