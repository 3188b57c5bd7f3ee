"""View of the pools and hosts on which moves are decided."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Final

from attrs import field, frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_fleet.moves.turns import WorkArrivals
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_fleet.waves.planner import HostLoad

__all__ = (
    'PoolView',
    'RetainedCapacity',
    'count_incoming',
    'count_wanted',
    'get_total_capacity',
    'is_idle',
    'is_on_standby',
)

_NO_LOAD: Final = HostLoad(0, 0)


@frozen
class PoolView:
    """Pools, hosts and the load of the hosts."""

    demands: Mapping[PoolName, PoolDemand]
    hosts: Mapping[HostId, ListedHost]
    # Load of the workers that have announced themselves.
    loads: Mapping[WorkerId, HostLoad]
    # Target pools of the hosts that must not move now, since a wave or a
    # move is in progress for them; empty for a wave.
    in_progress: Mapping[HostId, PoolName]
    # Work that callers have asked the pools for.
    arrivals: Mapping[PoolName, WorkArrivals] = field(factory=dict)


@frozen
class RetainedCapacity:
    """Hosts and capacity that pools retain."""

    # Number of hosts, for pools that retain more than the minimum.
    hosts: Mapping[PoolName, int]
    capacities: Mapping[PoolName, float]


def count_incoming(view: PoolView) -> 'Counter[PoolName]':
    """Count the hosts on their way to each pool; one that is down is not."""
    down = {
        host.host
        for host in view.hosts.values()
        if host.state == HostState.down
    }
    return Counter(
        pool for host, pool in view.in_progress.items() if host not in down
    )


def get_total_capacity(view: PoolView, incoming: Mapping[PoolName, int]) -> int:
    """Get the total capacity, including standby and incoming hosts."""
    demands = view.demands.values()
    switched_off = sum(
        host.state == HostState.up and is_on_standby(view, host)
        for host in view.hosts.values()
        if host.pool in view.demands
    )
    # Hosts that are down for maintenance have an empty target pool.
    incoming_hosts = sum(count for pool, count in incoming.items() if pool)
    host_capacity = max((demand.host_capacity for demand in demands), default=0)
    total = sum(demand.capacity for demand in demands)
    return total + host_capacity * (switched_off + incoming_hosts)


def count_wanted(demand: PoolDemand, share: float) -> int:
    """Count the additional hosts that a pool requires."""
    if demand.is_standby or demand.host_capacity <= 0:
        return 0
    lacking = share - demand.capacity
    return max(math.ceil(lacking / demand.host_capacity), demand.unplaced)


def is_on_standby(view: PoolView, host: ListedHost) -> bool:
    """Return whether a host is in a standby pool."""
    return view.demands[host.pool].is_standby


def is_idle(view: PoolView, host: ListedHost) -> bool:
    """Return whether a host is up, has no runs and may move."""
    if host.state != HostState.up or host.host in view.in_progress:
        return False
    return not view.loads.get(host.worker, _NO_LOAD).runs
