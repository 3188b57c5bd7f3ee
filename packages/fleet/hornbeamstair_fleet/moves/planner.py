"""Decisions on which hosts move to which pool."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import HostId, PoolName
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_fleet.events import PoolCapacityEvent
from hornbeamstair_fleet.moves.forecasts import (
    DemandForecast,
    RiseForecast,
    TurnForecast,
)
from hornbeamstair_fleet.moves.messages import Move, PoolDemand
from hornbeamstair_fleet.moves.reclaim import (
    choose_draining,
    count_draining_capacity,
)
from hornbeamstair_fleet.moves.shares import CapacityClaim, share_capacity
from hornbeamstair_fleet.moves.surplus import (
    HostChoice,
    get_even_size,
    get_movable,
    make_choice,
    make_moves,
)
from hornbeamstair_fleet.moves.views import (
    PoolView,
    RetainedCapacity,
    count_incoming,
    count_wanted,
    get_total_capacity,
    is_idle,
)
from hornbeamstair_fleet.waves.messages import HostState, ListedHost

__all__ = ('MovePlanner',)

# A host is moved to standby after this idle time: moving it there and back
# costs about as much as two seconds in a pool.
_IDLE_SECONDS: Final = 2.5
# Part of its even share of the hosts that a pool retains for its next burst,
# since a burst starts faster than hosts can be moved.
_RETAINED_SHARE: Final = 0.8
# Part of it that a pool retains while another one asks for more hosts.
_RESERVED_SHARE: Final = 0.5
# Time within which the worker of an arrived host announces itself.
_JOIN_SECONDS: Final = 3.0


@define(eq=False)
class MovePlanner:
    """Planner of the moves.

    Follows demand that alternates between pools and exceeds the capacity of
    each. Idle hosts, those of the standby pool first, move to pools whose
    forecast exceeds their capacity, and return to the standby pool when no
    pool needs them. A host with runs never moves; hosts of a pool beyond its
    share get no new runs, and move once they are idle.
    """

    idle_since: dict[HostId, float] = field(factory=dict)
    joining_since: dict[HostId, float] = field(factory=dict)
    rise: RiseForecast = field(factory=RiseForecast)
    turns: TurnForecast = field(factory=TurnForecast)
    # Pools that were short of capacity at the last plan.
    short_pools: set[PoolName] = field(factory=set)
    # Hosts that pools lack and that were not found at the last plan.
    missing: int = 0
    # Time at which each pool was last short of capacity.
    last_short_at: dict[PoolName, float] = field(factory=dict)
    # Busy hosts that get no new runs, since another pool lacks them.
    draining: set[HostId] = field(factory=set)
    # Hosts and target pools of moves that the platform refused.
    refused_moves: set[tuple[HostId, PoolName]] = field(factory=set)

    @property
    def forecasts(self) -> tuple[DemandForecast, ...]:
        """Get the forecasts, the highest of which counts."""
        return (self.rise, self.turns)

    def plan(self, view: PoolView, now: float) -> list[Move]:
        """Plan the moves to start now."""
        for forecast in self.forecasts:
            forecast.update(view.demands, view.arrivals, now)
        self.short_pools = {
            pool
            for pool, demand in view.demands.items()
            if self._get_surplus_capacity(demand) < 0
        }
        self.last_short_at.update(dict.fromkeys(self.short_pools, now))
        idle = self._get_idle(view, now)
        moves = list(self._plan_scale_up(view, idle, now))
        taken = {move.host for move in moves}
        left = [host for host in idle if host.host not in taken]
        moves.extend(self._plan_scale_down(view, left, now))
        for move in moves:
            self.idle_since.pop(move.host, None)
        return moves

    def get_events(self, view: PoolView) -> Iterator[PoolCapacityEvent]:
        """Get an event about the capacity of each pool at the last plan."""
        idle = Counter(
            host.pool for host in view.hosts.values() if is_idle(view, host)
        )
        up = Counter(
            host.pool
            for host in view.hosts.values()
            if host.state == HostState.up
        )
        drained = self.draining.intersection(view.hosts)
        draining = Counter(view.hosts[host].pool for host in drained)
        incoming = count_incoming(view)
        for pool, demand in view.demands.items():
            yield PoolCapacityEvent(
                pool,
                up[pool],
                idle[pool],
                incoming[pool],
                demand.capacity,
                demand.free,
                self._get_required(pool),
                demand.waiting_tasks,
                to_milliseconds(demand.oldest_wait),
                draining[pool],
                self.turns.get_turn_in_ms(pool),
            )

    def add_refusal(self, host: HostId, pool: PoolName) -> None:
        """Add a move that the platform refused; the host is unfit for it."""
        self.refused_moves.add((host, pool))

    def _get_idle(self, view: PoolView, now: float) -> list[ListedHost]:
        idle = [host for host in view.hosts.values() if is_idle(view, host)]
        host_ids = {host.host for host in idle}
        self.idle_since = {
            name: self.idle_since.get(name, now) for name in host_ids
        }
        # Hosts that have been idle the longest move first.
        return sorted(idle, key=lambda host: self.idle_since[host.host])

    def _plan_scale_up(
        self,
        view: PoolView,
        idle: list[ListedHost],
        now: float,
    ) -> Iterator[Move]:
        """Plan moves to pools that require more capacity than they have."""
        incoming = count_incoming(view)
        incoming.update(self._get_joining(view, now))
        shares = self._share_capacity(view, incoming)
        kept = self._get_reserved_sizes(view)
        choice = make_choice(view, idle, shares, kept, self.draining)
        demands = sorted(view.demands.values(), key=self._get_surplus_capacity)
        yield from choice.place(demands, incoming, self._may_move)
        self.missing = 0
        for demand in demands:
            hosts, wanted = self._choose_hosts(
                choice, demand, shares[demand.pool], incoming[demand.pool]
            )
            self.missing += wanted - len(hosts)
            yield from make_moves(hosts, demand.pool)
        self.draining = choose_draining(
            view, shares, kept, self.missing, self.draining
        )

    def _choose_hosts(
        self,
        choice: HostChoice,
        demand: PoolDemand,
        share: float,
        incoming: int,
    ) -> tuple[list[ListedHost], int]:
        """Choose hosts for a pool; return them and how many it wants."""
        present = min(share, self._get_present_demand(demand))
        urgent = count_wanted(demand, present) - incoming
        wanted = max(count_wanted(demand, share) - incoming, 0)
        hosts = choice.take(demand.pool, wanted, urgent, self._may_move)
        return hosts, wanted

    def _plan_scale_down(
        self,
        view: PoolView,
        idle: list[ListedHost],
        now: float,
    ) -> Iterator[Move]:
        """Plan moves to the standby pool, whose hosts are switched off."""
        if self.missing:
            return
        standby = [
            demand.pool for demand in view.demands.values() if demand.is_standby
        ]
        kept = {
            pool: max(
                forecast.get_retained(pool) for forecast in self.forecasts
            )
            for pool in view.demands
        }
        retained = RetainedCapacity(self._get_retained_sizes(view), kept)
        for host in get_movable(view, idle, retained, self.draining):
            if now - self.idle_since[host.host] <= _IDLE_SECONDS:
                continue
            pools = [pool for pool in standby if self._may_move(host, pool)]
            if pools and host.pool not in standby:
                yield from make_moves((host,), pools[0])

    def _share_capacity(
        self,
        view: PoolView,
        incoming: Mapping[PoolName, int],
    ) -> dict[PoolName, float]:
        claims = {
            pool: CapacityClaim(
                self._get_present_demand(demand),
                self._get_required(pool),
            )
            for pool, demand in view.demands.items()
        }
        total = get_total_capacity(view, incoming) + sum(
            count_draining_capacity(view, self.draining, pool)
            for pool in view.demands
        )
        return share_capacity(claims, total)

    def _get_joining(self, view: PoolView, now: float) -> 'Counter[PoolName]':
        """Count arrived hosts whose workers have not announced themselves."""
        joining = [
            host
            for host in view.hosts.values()
            if host.state == HostState.up
            and host.worker not in view.loads
            and host.host not in view.in_progress
        ]
        self.joining_since = {
            host.host: self.joining_since.get(host.host, now)
            for host in joining
        }
        return Counter(
            host.pool
            for host in joining
            if now - self.joining_since[host.host] < _JOIN_SECONDS
        )

    def _get_retained_sizes(self, view: PoolView) -> dict[PoolName, int]:
        """Get the sizes that pools retain while they have little work.

        Demand alternates between pools: those that were short of capacity
        most recently are unlikely to be the next, and retain no more than
        the minimum. Neither do pools whose next turn is forecast.
        """
        pools = [
            demand.pool
            for demand in view.demands.values()
            if not demand.is_standby
        ]
        size = get_even_size(view, _RETAINED_SHARE)
        by_shortage = sorted(
            pools, key=lambda pool: self.last_short_at.get(pool, 0)
        )
        served_pools = [
            pool for pool in by_shortage if pool in self.last_short_at
        ]
        latest_count = len(pools) // 2
        latest_pools = served_pools[-latest_count:] if latest_count else []
        return {
            pool: size
            for pool in pools
            if pool not in latest_pools and not self.turns.knows_next_rise(pool)
        }

    def _get_reserved_sizes(self, view: PoolView) -> dict[PoolName, int]:
        """Get the sizes that pools retain while another one asks for more.

        The hosts of a pool whose next turn is unknown could not return in
        time.
        """
        size = get_even_size(view, _RESERVED_SHARE)
        return {
            pool: size
            for pool in view.demands
            if not self.turns.knows_next_rise(pool)
        }

    def _get_surplus_capacity(self, demand: PoolDemand) -> int:
        return demand.capacity - self._get_required(demand.pool)

    def _get_required(self, pool: PoolName) -> int:
        return max(forecast.get_required(pool) for forecast in self.forecasts)

    def _get_present_demand(self, demand: PoolDemand) -> float:
        """Get the demand of the work that can be in time."""
        recent = self.rise.pools[demand.pool].recent_demand
        return max(recent - demand.late, 0)

    def _may_move(self, host: ListedHost, pool: PoolName) -> bool:
        return host.pool != pool and (host.host, pool) not in self.refused_moves
