"""Decision which machines move to which pool."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import MachineId, PoolName, WorkerId
from hornbeamstair_fleet.moves.messages import Move, PoolDemand
from hornbeamstair_fleet.waves.messages import Machine, MachineState
from hornbeamstair_fleet.waves.planner import MachineLoad

__all__ = ('MovePlanner', 'PoolView')

# A move takes about two seconds: what is over sooner needs none.
_DRAIN_SECONDS: Final = 0.6
# Share of its room that a pool can keep busy without making jobs wait.
_BUSY_SHARE: Final = 0.8
_CORES_PER_MACHINE: Final = 16000
# The price of two moves is that of about two seconds in a pool.
_IDLE_SECONDS: Final = 2.5
_IDLE: Final = MachineLoad(0, 0)


@define(frozen=True)
class PoolView:
    """Pools, machines and what runs on them."""

    demands: Mapping[PoolName, PoolDemand]
    machines: Mapping[MachineId, Machine]
    loads: Mapping[WorkerId, MachineLoad]
    homes: Mapping[MachineId, PoolName]
    # Machines that may not move now: in a wave or in a move.
    bound: Mapping[MachineId, PoolName]


@define(eq=False)
class MovePlanner:
    """Plan of the moves.

    Answers queues that ask by turns for more than their pool holds: idle
    machines that are at home in the standby pool go where work waits, and
    return when they stay idle. A machine that runs something never moves.
    """

    idle_since: dict[MachineId, float] = field(factory=dict)

    def plan(self, view: PoolView, now: float) -> list[Move]:
        """Plan the moves to begin now."""
        idle = self._get_idle(view, now)
        moves = list(_plan_help(view, idle))
        taken = {move.machine for move in moves}
        moves.extend(
            _make_move(view, machine, view.homes[machine.machine])
            for machine in idle
            if machine.machine not in taken
            and self._may_return(view, machine, now)
        )
        for move in moves:
            self.idle_since.pop(move.machine, None)
        return moves

    def _get_idle(self, view: PoolView, now: float) -> list[Machine]:
        idle = [
            machine
            for machine in view.machines.values()
            if _is_idle(view, machine)
        ]
        names = {machine.machine for machine in idle}
        self.idle_since = {
            name: self.idle_since.get(name, now) for name in names
        }
        return idle

    def _may_return(
        self,
        view: PoolView,
        machine: Machine,
        now: float,
    ) -> bool:
        home = view.homes.get(machine.machine, machine.pool)
        if home == machine.pool:
            return False
        return now - self.idle_since[machine.machine] > _IDLE_SECONDS


def _plan_help(
    view: PoolView,
    idle: Sequence[Machine],
) -> Iterator[Move]:
    """Plan moves to the pools that need more than they have."""
    coming = Counter(view.bound.values())
    helpers = [machine for machine in idle if _may_help(view, machine)]
    by_need = sorted(
        view.demands.values(),
        key=lambda found: -found.drain_seconds,
    )
    for demand in by_need:
        wanted = _count_wanted(demand) - coming[demand.pool]
        chosen = [
            machine for machine in helpers if machine.pool != demand.pool
        ][: max(wanted, 0)]
        for machine in chosen:
            helpers.remove(machine)
            yield _make_move(view, machine, demand.pool)


def _count_wanted(demand: PoolDemand) -> int:
    """Count the machines that a pool lacks, by what waits and arrives."""
    if demand.is_standby:
        return 0
    coming = demand.arriving - demand.room * _BUSY_SHARE
    backlog = 0
    if demand.drain_seconds >= _DRAIN_SECONDS:
        backlog = max(demand.waiting - demand.free, 0)
    missing = max(coming, backlog)
    return max(math.ceil(missing / _CORES_PER_MACHINE), 0)


def _may_help(view: PoolView, machine: Machine) -> bool:
    """Tell whether a machine is on loan or stands by, with nothing to do."""
    demand = view.demands.get(machine.pool)
    home = view.homes.get(machine.machine, machine.pool)
    is_at_home = home == machine.pool
    if demand is None:
        return False
    if demand.is_standby:
        return True
    return not is_at_home and demand.waiting == 0


def _is_idle(view: PoolView, machine: Machine) -> bool:
    if machine.state != MachineState.up or machine.machine in view.bound:
        return False
    return not view.loads.get(machine.worker, _IDLE).runs


def _make_move(view: PoolView, machine: Machine, pool: PoolName) -> Move:
    home = view.homes.get(machine.machine, machine.pool)
    return Move(machine.machine, home, pool, machine.worker)
