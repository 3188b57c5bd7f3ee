"""Decision which hosts move to which pool."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_fleet.moves.messages import Move, PoolDemand
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_fleet.waves.planner import HostLoad

__all__ = ('MovePlanner', 'PoolView')

# A move takes about two seconds: what is over sooner needs none.
_DRAIN_SECONDS: Final = 0.6
# Share of its room that a pool can keep busy without making jobs wait.
_BUSY_SHARE: Final = 0.8
_CORES_PER_MACHINE: Final = 16000
# The price of two moves is that of about two seconds in a pool.
_IDLE_SECONDS: Final = 2.5
_IDLE: Final = HostLoad(0, 0)


@define(frozen=True)
class PoolView:
    """Pools, hosts and what runs on them."""

    demands: Mapping[PoolName, PoolDemand]
    hosts: Mapping[HostId, ListedHost]
    loads: Mapping[WorkerId, HostLoad]
    homes: Mapping[HostId, PoolName]
    # Hosts that may not move now: in a wave or in a move.
    bound: Mapping[HostId, PoolName]


@define(eq=False)
class MovePlanner:
    """Plan of the moves.

    Answers queues that ask by turns for more than their pool holds: idle
    hosts that are at home in the standby pool go where work waits, and
    return when they stay idle. A host that runs something never moves.
    """

    idle_since: dict[HostId, float] = field(factory=dict)

    def plan(self, view: PoolView, now: float) -> list[Move]:
        """Plan the moves to begin now."""
        idle = self._get_idle(view, now)
        moves = list(_plan_help(view, idle))
        taken = {move.host for move in moves}
        moves.extend(
            _make_move(view, host, view.homes[host.host])
            for host in idle
            if host.host not in taken and self._may_return(view, host, now)
        )
        for move in moves:
            self.idle_since.pop(move.host, None)
        return moves

    def _get_idle(self, view: PoolView, now: float) -> list[ListedHost]:
        idle = [host for host in view.hosts.values() if _is_idle(view, host)]
        names = {host.host for host in idle}
        self.idle_since = {
            name: self.idle_since.get(name, now) for name in names
        }
        return idle

    def _may_return(
        self,
        view: PoolView,
        host: ListedHost,
        now: float,
    ) -> bool:
        home = view.homes.get(host.host, host.pool)
        if home == host.pool:
            return False
        return now - self.idle_since[host.host] > _IDLE_SECONDS


def _plan_help(
    view: PoolView,
    idle: Sequence[ListedHost],
) -> Iterator[Move]:
    """Plan moves to the pools that need more than they have."""
    coming = Counter(view.bound.values())
    helpers = [host for host in idle if _may_help(view, host)]
    by_need = sorted(
        view.demands.values(),
        key=lambda found: -found.drain_seconds,
    )
    for demand in by_need:
        wanted = _count_wanted(demand) - coming[demand.pool]
        chosen = [host for host in helpers if host.pool != demand.pool][
            : max(wanted, 0)
        ]
        for host in chosen:
            helpers.remove(host)
            yield _make_move(view, host, demand.pool)


def _count_wanted(demand: PoolDemand) -> int:
    """Count the hosts that a pool lacks, by what waits and arrives."""
    if demand.is_standby:
        return 0
    coming = demand.arriving - demand.room * _BUSY_SHARE
    backlog = 0
    if demand.drain_seconds >= _DRAIN_SECONDS:
        backlog = max(demand.waiting - demand.free, 0)
    missing = max(coming, backlog)
    return max(math.ceil(missing / _CORES_PER_MACHINE), 0)


def _may_help(view: PoolView, host: ListedHost) -> bool:
    """Tell whether a host is on loan or stands by, with nothing to do."""
    demand = view.demands.get(host.pool)
    home = view.homes.get(host.host, host.pool)
    is_at_home = home == host.pool
    if demand is None:
        return False
    if demand.is_standby:
        return True
    return not is_at_home and demand.waiting == 0


def _is_idle(view: PoolView, host: ListedHost) -> bool:
    if host.state != HostState.up or host.host in view.bound:
        return False
    return not view.loads.get(host.worker, _IDLE).runs


def _make_move(view: PoolView, host: ListedHost, pool: PoolName) -> Move:
    home = view.homes.get(host.host, host.pool)
    return Move(host.host, home, pool, host.worker)
