"""Idle hosts that may leave their pools."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import HostId, PoolName
from hornbeamstair_fleet.moves.messages import Move, PoolDemand
from hornbeamstair_fleet.moves.views import (
    PoolView,
    RetainedCapacity,
    is_on_standby,
)
from hornbeamstair_fleet.waves.messages import HostState, ListedHost

__all__ = (
    'HostChoice',
    'get_even_size',
    'get_movable',
    'make_choice',
    'make_moves',
)

# Minimum hosts of a serving pool, so that it survives the loss of one.
_MIN_HOSTS: Final = 2


@define(eq=False)
class HostChoice:
    """Movable hosts, some of which are reserved for the next turn there.

    A reserve serves a turn that may come; it does not keep a host from work
    that waits now.
    """

    hosts: list[ListedHost]
    reserved: set[HostId] = field(factory=set)

    def reserve(self, free: Iterable[ListedHost]) -> None:
        """Reserve the hosts that are not free."""
        self.reserved = {host.host for host in self.hosts}
        self.reserved -= {host.host for host in free}

    def place(
        self,
        demands: Iterable[PoolDemand],
        incoming: 'Counter[PoolName]',
        may_move: Callable[[ListedHost, PoolName], bool],
    ) -> Iterator[Move]:
        """Move hosts for long-running tasks that fit nowhere.

        A pool that lacks a hundred hosts for its turn loses little by one
        less; a wave waits for each run that has to leave its host.
        """
        for demand in demands:
            unplaced = demand.unplaced - incoming[demand.pool]
            hosts = self.take(demand.pool, 0, unplaced, may_move)
            incoming[demand.pool] += len(hosts)
            yield from make_moves(hosts, demand.pool)

    def take(
        self,
        pool: PoolName,
        wanted: int,
        urgent: int,
        may_move: Callable[[ListedHost, PoolName], bool],
    ) -> list[ListedHost]:
        """Take the wanted hosts; reserved ones only as far as it is urgent."""
        fit = [host for host in self.hosts if may_move(host, pool)]
        free = [host for host in fit if host.host not in self.reserved]
        chosen = free[: max(wanted, urgent, 0)]
        others = [host for host in fit if host.host in self.reserved]
        chosen.extend(others[: max(urgent - len(chosen), 0)])
        for host in chosen:
            self.hosts.remove(host)
        return chosen


def make_choice(
    view: PoolView,
    idle: Collection[ListedHost],
    shares: Mapping[PoolName, float],
    kept: Mapping[PoolName, int],
    draining: Collection[HostId],
) -> HostChoice:
    """Make a choice of hosts of which each pool reserves some."""
    beyond_share = RetainedCapacity({}, shares)
    choice = HostChoice(get_movable(view, idle, beyond_share, draining))
    beyond_reserve = RetainedCapacity(kept, shares)
    choice.reserve(get_movable(view, idle, beyond_reserve, draining))
    return choice


def make_moves(hosts: Iterable[ListedHost], pool: PoolName) -> Iterator[Move]:
    """Make the moves of hosts to a pool."""
    for host in hosts:
        yield Move(host.host, host.pool, pool, host.worker)


def get_even_size(view: PoolView, share: float) -> int:
    """Get a number of hosts by its part of the even share of a pool."""
    pools = sum(not demand.is_standby for demand in view.demands.values())
    even_share = len(view.hosts) / max(pools, 1)
    return max(int(even_share * share), _MIN_HOSTS)


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
        kept = retained.hosts.get(host.pool, _MIN_HOSTS)
        if sizes[host.pool] > kept and left >= needed:
            sizes[host.pool] -= 1
            capacities[host.pool] = left
            yield host
