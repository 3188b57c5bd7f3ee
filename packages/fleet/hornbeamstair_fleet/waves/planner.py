"""Decision which host of a wave goes down next."""

import math
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from attrs import define, frozen

from hornbeamstair_core.ids import HostId, PoolName, WorkerId
from hornbeamstair_core.moments import Moment
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_fleet.waves.table import HostStep, WaveProgress

__all__ = ('HostLoad', 'WavePlan', 'WavePlanner')

# Share of a pool that may be kept free of work at a time.
_POOL_SHARE: Final = 0.34
# Runs that last leave one after the other: while there is time, no more hosts
# of a pool are freed of them than this, or they would stand empty.
_MIN_LASTING: Final = 2
# Time that a host needs to get free of runs that last and be maintained.
_LASTING_ROUND_SECONDS: Final = 12.0
# Part of the hosts that may be down which hosts with runs that last, which
# take the longest to free, are kept free for before the others.
_LASTING_PART: Final = 2
# Time that a host needs to get free of work and be maintained.
_ROUND_SECONDS: Final = 6.0


@frozen
class HostLoad:
    """What runs on a host."""

    runs: int
    # Seconds until its runs would end by themselves.
    rest_seconds: float
    # A run that goes on until it is stopped has to leave first.
    has_lasting: bool = False


@frozen
class WavePlan:
    """Hosts to keep free, to free by force, and to order down."""

    reserved: frozenset[WorkerId]
    # Runs are to be stopped, since the deadline is near.
    urgent: frozenset[WorkerId]
    ordered: tuple[ListedHost, ...]


@define(eq=False)
class WavePlanner:
    """Plan of one wave.

    Hosts that need not be freed go first. No more hosts are kept
    free than may be down, and no more than a share of a pool, so that the
    pools can serve what comes meanwhile. While there is time, hosts of a
    pool that lacks room stay, but for those that take long to free.
    """

    def plan(
        self,
        progress: WaveProgress,
        hosts: Mapping[HostId, ListedHost],
        loads: Mapping[WorkerId, HostLoad],
        now: Moment,
        short: Collection[PoolName] = (),
    ) -> WavePlan:
        """Plan the next step; the short pools lack room."""
        waiting = [
            hosts[host]
            for host in progress.get_hosts(HostStep.waiting)
            if host in hosts and hosts[host].state == HostState.up
        ]
        is_urgent = _is_urgent(progress, waiting, hosts, now)
        able = [
            host
            for host in waiting
            if is_urgent
            or host.pool not in short
            or _get_load(host, loads).has_lasting
        ]
        left = progress.wave.deadline - now.wall
        chosen = self._choose(progress, hosts, able, loads, left)
        free = [host for host in chosen if not _get_load(host, loads).runs]
        workers = frozenset(host.worker for host in chosen)
        return WavePlan(
            reserved=workers,
            urgent=workers if is_urgent else frozenset(),
            ordered=tuple(free),
        )

    def _choose(
        self,
        progress: WaveProgress,
        hosts: Mapping[HostId, ListedHost],
        waiting: Sequence[ListedHost],
        loads: Mapping[WorkerId, HostLoad],
        left_seconds: float,
    ) -> list[ListedHost]:
        room = progress.wave.max_down - progress.count_down()
        sizes = _get_sizes(hosts)
        down = _count_down(progress, hosts)
        early, late = _split_lasting(waiting, loads, left_seconds)
        chosen: list[ListedHost] = []
        for host in _sort(
            waiting, early[: progress.wave.max_down // _LASTING_PART], loads
        ):
            if len(chosen) >= room:
                break
            is_full = down[host.pool] >= _get_limit(sizes, host.pool)
            if host not in late and not is_full:
                down[host.pool] += 1
                chosen.append(host)
        return chosen


_DOWN: Final = frozenset((HostStep.ordered, HostStep.taken))
_IDLE: Final = HostLoad(0, 0)


def _get_load(
    host: ListedHost,
    loads: Mapping[WorkerId, HostLoad],
) -> HostLoad:
    return loads.get(host.worker, _IDLE)


def _count_down(
    progress: WaveProgress,
    hosts: Mapping[HostId, ListedHost],
) -> 'Counter[PoolName]':
    return Counter(
        host.pool
        for host in hosts.values()
        if host.state != HostState.up or progress.steps.get(host.host) in _DOWN
    )


def _split_lasting(
    waiting: Sequence[ListedHost],
    loads: Mapping[WorkerId, HostLoad],
    left_seconds: float,
) -> tuple[list[ListedHost], list[ListedHost]]:
    """Split the hosts with runs that last: freed now, or left for later.

    As many are freed at a time as the rest of the wave takes.
    """
    lasting = [host for host in waiting if _get_load(host, loads).has_lasting]
    rounds = max(left_seconds / _LASTING_ROUND_SECONDS, 1)
    limits = {
        pool: max(math.ceil(count / rounds), _MIN_LASTING)
        for pool, count in Counter(host.pool for host in lasting).items()
    }
    early: list[ListedHost] = []
    late: list[ListedHost] = []
    for host in lasting:
        limits[host.pool] -= 1
        (late if limits[host.pool] < 0 else early).append(host)
    return early, late


def _sort(
    waiting: Sequence[ListedHost],
    early: Collection[ListedHost],
    loads: Mapping[WorkerId, HostLoad],
) -> list[ListedHost]:
    """Put idle hosts first, then some that take long, then by their rest."""
    return sorted(waiting, key=lambda host: _get_key(host, early, loads))


def _get_key(
    host: ListedHost,
    early: Collection[ListedHost],
    loads: Mapping[WorkerId, HostLoad],
) -> tuple[bool, bool, float]:
    load = _get_load(host, loads)
    return bool(load.runs), host not in early, load.rest_seconds


def _get_sizes(hosts: Mapping[HostId, ListedHost]) -> 'Counter[PoolName]':
    return Counter(host.pool for host in hosts.values())


def _get_limit(sizes: Mapping[PoolName, int], pool: PoolName) -> int:
    return max(int(sizes[pool] * _POOL_SHARE), 1)


def _is_urgent(
    progress: WaveProgress,
    waiting: Sequence[ListedHost],
    hosts: Mapping[HostId, ListedHost],
    now: Moment,
) -> bool:
    """Tell whether waiting for runs to end would miss the deadline."""
    sizes = _get_sizes(hosts)
    rounds = 1 + len(waiting) // max(progress.wave.max_down, 1)
    for pool, count in Counter(host.pool for host in waiting).items():
        rounds = max(rounds, math.ceil(count / _get_limit(sizes, pool)))
    left = progress.wave.deadline - now.wall
    return left < rounds * _ROUND_SECONDS
