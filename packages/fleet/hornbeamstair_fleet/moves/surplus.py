"""Idle hosts that may leave their pools."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from typing import Final

from hornbeamstair_core.ids import HostId
from hornbeamstair_fleet.moves.views import (
    PoolView,
    RetainedCapacity,
    is_on_standby,
)
from hornbeamstair_fleet.waves.messages import HostState, ListedHost

__all__ = ('MIN_HOSTS', 'get_movable')

# Minimum hosts of a serving pool, so that it survives the loss of one.
MIN_HOSTS: Final = 2


def get_movable(
    view: PoolView,
    idle: Iterable[ListedHost],
    retained: RetainedCapacity,
    draining: Collection[HostId],
) -> list[ListedHost]:
    """Get the idle hosts that their pools do not need."""
    known = [host for host in idle if host.pool in view.demands]
    drained = [host for host in known if host.host in draining]
    others = [host for host in known if host.host not in draining]
    standby = [host for host in others if is_on_standby(view, host)]
    serving = [host for host in others if not is_on_standby(view, host)]
    return [*drained, *standby, *_get_surplus(view, serving, retained)]


def _get_surplus(
    view: PoolView,
    serving: Iterable[ListedHost],
    retained: RetainedCapacity,
) -> Iterator[ListedHost]:
    # The list may still show moving hosts as up in their old pool.
    sizes = Counter(
        host.pool
        for host in view.hosts.values()
        if host.state == HostState.up and host.host not in view.in_progress
    )
    capacities = {
        pool: demand.capacity for pool, demand in view.demands.items()
    }
    for host in serving:
        needed = retained.capacities[host.pool]
        left = capacities[host.pool] - view.demands[host.pool].host_capacity
        kept = retained.hosts.get(host.pool, MIN_HOSTS)
        if sizes[host.pool] > kept and left >= needed:
            sizes[host.pool] -= 1
            capacities[host.pool] = left
            yield host
