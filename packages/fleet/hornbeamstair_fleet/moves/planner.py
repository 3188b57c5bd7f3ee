"""Decision which hosts move to which pool."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_fleet.events import PoolRoomEvent
from hornbeamstair_fleet.moves.messages import Move, PoolDemand
from hornbeamstair_fleet.moves.needs import RoomNeed
from hornbeamstair_fleet.moves.shares import RoomClaim, share_room
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_fleet.waves.planner import HostLoad

__all__ = ('MovePlanner', 'PoolView')

# The price of two moves is that of about two seconds in a pool.
_IDLE_SECONDS: Final = 2.5
# A pool that serves keeps so many hosts, one of which may be lost.
_MIN_HOSTS: Final = 2
# Share of the hosts that fall to a pool which it keeps for its next burst: a
# burst begins faster than hosts can be moved.
_REST_SHARE: Final = 0.8
# A host that came to its pool has announced its worker by then.
_JOIN_SECONDS: Final = 3.0
_IDLE: Final = HostLoad(0, 0)


@frozen
class PoolView:
    """Pools, hosts and what runs on them."""

    demands: Mapping[PoolName, PoolDemand]
    hosts: Mapping[HostId, ListedHost]
    # Workers that have announced themselves.
    loads: Mapping[WorkerId, HostLoad]
    # Hosts that may not move now: in a wave or in a move.
    bound: Mapping[HostId, PoolName]


@frozen
class Reserve:
    """What a pool keeps of its hosts."""

    # Numbers of hosts of those that keep more than any pool does.
    hosts: Mapping[PoolName, int]
    rooms: Mapping[PoolName, float]


@define(eq=False)
class MovePlanner:
    """Plan of the moves.

    Answers queues that ask by turns for more than their pool holds: idle
    hosts go where more work is expected than there is room, from the standby
    pool first, and go to the standby pool when no pool has use for them. A
    host that runs something never moves.
    """

    idle_since: dict[HostId, float] = field(factory=dict)
    joining_since: dict[HostId, float] = field(factory=dict)
    needs: dict[PoolName, RoomNeed] = field(factory=dict)
    # Pools that lacked room at the last plan.
    short: set[PoolName] = field(factory=set)
    # Time at which each pool lacked room last.
    short_at: dict[PoolName, float] = field(factory=dict)
    # Pools to which the platform would not move a host.
    refused: set[tuple[HostId, PoolName]] = field(factory=set)

    def plan(self, view: PoolView, now: float) -> list[Move]:
        """Plan the moves to begin now."""
        self._note_needs(view, now)
        self.short = {
            pool
            for pool, demand in view.demands.items()
            if self._get_surplus_room(demand) < 0
        }
        self.short_at.update(dict.fromkeys(self.short, now))
        idle = self._get_idle(view, now)
        moves = list(self._plan_help(view, idle, now))
        taken = {move.host for move in moves}
        left = [host for host in idle if host.host not in taken]
        moves.extend(self._plan_rest(view, left, now))
        for move in moves:
            self.idle_since.pop(move.host, None)
        return moves

    def describe(self, view: PoolView) -> Iterator[PoolRoomEvent]:
        """Describe the room of each pool at the last plan."""
        idle = Counter(
            host.pool for host in view.hosts.values() if _is_idle(view, host)
        )
        up = Counter(
            host.pool
            for host in view.hosts.values()
            if host.state == HostState.up
        )
        coming = Counter(view.bound.values())
        for pool, demand in view.demands.items():
            yield PoolRoomEvent(
                pool,
                up[pool],
                idle[pool],
                coming[pool],
                demand.room,
                demand.free,
                self.needs[pool].get_latest(),
                demand.waiting_tasks,
                to_milliseconds(demand.oldest_wait),
            )

    def note_refused(self, host: HostId, pool: PoolName) -> None:
        """Note that a host is not of the kind of a pool."""
        self.refused.add((host, pool))

    def _note_needs(self, view: PoolView, now: float) -> None:
        for pool, demand in view.demands.items():
            need = self.needs.setdefault(pool, RoomNeed())
            need.note(demand.usable, demand.largest, now)

    def _get_idle(self, view: PoolView, now: float) -> list[ListedHost]:
        idle = [host for host in view.hosts.values() if _is_idle(view, host)]
        names = {host.host for host in idle}
        self.idle_since = {
            name: self.idle_since.get(name, now) for name in names
        }
        # Those that have been idle the longest go first.
        return sorted(idle, key=lambda host: self.idle_since[host.host])

    def _get_spare(
        self,
        view: PoolView,
        idle: list[ListedHost],
        reserve: Reserve,
    ) -> list[ListedHost]:
        """Get the idle hosts that their pools can do without."""
        known = [host for host in idle if host.pool in view.demands]
        standby = [host for host in known if _is_standing_by(view, host)]
        serving = [host for host in known if not _is_standing_by(view, host)]
        return standby + list(self._get_surplus(view, serving, reserve))

    def _get_surplus(
        self,
        view: PoolView,
        serving: Iterable[ListedHost],
        reserve: Reserve,
    ) -> Iterator[ListedHost]:
        sizes = Counter(
            host.pool
            for host in view.hosts.values()
            if host.state == HostState.up
        )
        rooms = {pool: demand.room for pool, demand in view.demands.items()}
        for host in serving:
            needed = reserve.rooms[host.pool]
            left = rooms[host.pool] - view.demands[host.pool].host_room
            kept = reserve.hosts.get(host.pool, _MIN_HOSTS)
            if sizes[host.pool] > kept and left >= needed:
                sizes[host.pool] -= 1
                rooms[host.pool] = left
                yield host

    def _plan_help(
        self,
        view: PoolView,
        idle: list[ListedHost],
        now: float,
    ) -> Iterator[Move]:
        """Plan moves to the pools that need more than they have."""
        coming = Counter(view.bound.values())
        coming.update(self._get_joining(view, now))
        shares = self._share_room(view, coming)
        left = self._get_spare(view, idle, Reserve({}, shares))
        for demand in sorted(view.demands.values(), key=self._get_surplus_room):
            wanted = _count_wanted(demand, shares[demand.pool])
            wanted -= coming[demand.pool]
            chosen = [
                host for host in left if self._may_move(host, demand.pool)
            ][: max(wanted, 0)]
            for host in chosen:
                left.remove(host)
                yield _make_move(host, demand.pool)

    def _plan_rest(
        self,
        view: PoolView,
        idle: list[ListedHost],
        now: float,
    ) -> Iterator[Move]:
        """Plan moves to the standby pool, whose hosts are switched off."""
        if self.short:
            return
        standby = [
            demand.pool for demand in view.demands.values() if demand.is_standby
        ]
        kept = {pool: need.get_kept() for pool, need in self.needs.items()}
        reserve = Reserve(self._get_rest_sizes(view), kept)
        for host in self._get_spare(view, idle, reserve):
            if now - self.idle_since[host.host] <= _IDLE_SECONDS:
                continue
            pools = [pool for pool in standby if self._may_move(host, pool)]
            if pools and host.pool not in standby:
                yield _make_move(host, pools[0])

    def _share_room(
        self,
        view: PoolView,
        coming: Mapping[PoolName, int],
    ) -> dict[PoolName, float]:
        claims = {
            pool: RoomClaim(
                self.needs[pool].used, self.needs[pool].get_latest()
            )
            for pool in view.demands
        }
        return share_room(claims, _get_total_room(view, coming))

    def _get_joining(self, view: PoolView, now: float) -> 'Counter[PoolName]':
        """Count the hosts whose workers have yet to announce themselves."""
        joining = [
            host
            for host in view.hosts.values()
            if host.state == HostState.up
            and host.worker not in view.loads
            and host.host not in view.bound
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

    def _get_rest_sizes(self, view: PoolView) -> dict[PoolName, int]:
        """Get the sizes that pools keep though they have little to do.

        Queues ask by turns: those that lacked room last are not the next.
        """
        pools = [
            demand.pool
            for demand in view.demands.values()
            if not demand.is_standby
        ]
        share = len(view.hosts) / max(len(pools), 1)
        size = max(int(share * _REST_SHARE), _MIN_HOSTS)
        by_turn = sorted(pools, key=lambda pool: self.short_at.get(pool, 0))
        served = [pool for pool in by_turn if pool in self.short_at]
        half = len(pools) // 2
        last = served[-half:] if half else []
        return {pool: size for pool in pools if pool not in last}

    def _get_surplus_room(self, demand: PoolDemand) -> int:
        return demand.room - self.needs[demand.pool].get_latest()

    def _may_move(self, host: ListedHost, pool: PoolName) -> bool:
        return host.pool != pool and (host.host, pool) not in self.refused


def _get_total_room(view: PoolView, coming: Mapping[PoolName, int]) -> int:
    """Get the room that there is, with hosts on standby and on their way."""
    demands = view.demands.values()
    switched_off = sum(
        host.state == HostState.up and _is_standing_by(view, host)
        for host in view.hosts.values()
        if host.pool in view.demands
    )
    # Hosts that are down for maintenance go to no pool.
    on_way = sum(count for pool, count in coming.items() if pool)
    host_room = max((demand.host_room for demand in demands), default=0)
    room = sum(demand.room for demand in demands)
    return room + host_room * (switched_off + on_way)


def _count_wanted(demand: PoolDemand, share: float) -> int:
    """Count the hosts that a pool lacks."""
    if demand.is_standby or demand.host_room <= 0:
        return 0
    missing = share - demand.room
    return max(math.ceil(missing / demand.host_room), demand.homeless)


def _is_standing_by(view: PoolView, host: ListedHost) -> bool:
    return view.demands[host.pool].is_standby


def _is_idle(view: PoolView, host: ListedHost) -> bool:
    if host.state != HostState.up or host.host in view.bound:
        return False
    return not view.loads.get(host.worker, _IDLE).runs


def _make_move(host: ListedHost, pool: PoolName) -> Move:
    return Move(host.host, host.pool, pool, host.worker)
