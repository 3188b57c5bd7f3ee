"""Choice of the busy hosts that pools beyond their share give up."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

from hornbeamstair_core.ids import HostId, PoolName
from hornbeamstair_fleet.moves.views import PoolView
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_fleet.waves.planner import HostLoad

__all__ = ('choose_draining', 'count_draining_capacity')

_NO_LOAD: Final = HostLoad(0, 0)


def choose_draining(
    view: PoolView,
    shares: Mapping[PoolName, float],
    kept: Mapping[PoolName, int],
    missing: int,
    draining: Collection[HostId],
) -> set[HostId]:
    """Choose the hosts that get no new runs until they can move.

    While callers ask all pools together for more than there is, a pool that
    came first would otherwise keep its hosts busy with work that is late,
    and another one would be late with all of its work. Runs are not stopped;
    hosts with long-running runs stay, and so does a number of hosts of each
    pool.
    """
    sizes = _get_sizes(view)
    surplus = {
        pool: (
            demand.capacity
            + count_draining_capacity(view, draining, pool)
            - shares[pool]
        )
        for pool, demand in view.demands.items()
        if not demand.is_standby
    }
    chosen: set[HostId] = set()
    for host in _sort_candidates(view, draining):
        host_capacity = view.demands[host.pool].host_capacity
        may_shrink = 0 < host_capacity <= surplus.get(host.pool, 0) and sizes[
            host.pool
        ] > kept.get(host.pool, 0)
        if may_shrink and len(chosen) < missing:
            surplus[host.pool] -= host_capacity
            sizes[host.pool] -= 1
            chosen.add(host.host)
    return chosen


def count_draining_capacity(
    view: PoolView,
    draining: Collection[HostId],
    pool: PoolName,
) -> int:
    """Count the capacity of the draining hosts of a pool."""
    hosts = Counter(
        view.hosts[host].pool
        for host in draining
        if host in view.hosts and _may_drain(view, view.hosts[host])
    )
    return hosts[pool] * view.demands[pool].host_capacity


def _get_sizes(view: PoolView) -> 'Counter[PoolName]':
    return Counter(
        host.pool
        for host in view.hosts.values()
        if host.state == HostState.up and host.host not in view.in_progress
    )


def _sort_candidates(
    view: PoolView, draining: Collection[HostId]
) -> list[ListedHost]:
    """Sort draining hosts first, then those whose runs end first."""
    return sorted(
        (
            host
            for host in view.hosts.values()
            if host.pool in view.demands and _may_drain(view, host)
        ),
        key=lambda host: (
            host.host not in draining,
            _get_load(view, host).remaining_seconds,
        ),
    )


def _may_drain(view: PoolView, host: ListedHost) -> bool:
    if host.state != HostState.up or host.host in view.in_progress:
        return False
    is_known = host.worker in view.loads
    return is_known and not _get_load(view, host).has_long_running


def _get_load(view: PoolView, host: ListedHost) -> HostLoad:
    return view.loads.get(host.worker, _NO_LOAD)
