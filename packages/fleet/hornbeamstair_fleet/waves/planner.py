"""Decisions on which hosts of a wave go down next."""

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

# Maximum share of a pool that is reserved or down at a time.
_MAX_UNAVAILABLE_SHARE: Final = 0.34
# Long-running runs move away one at a time. Unless the deadline requires more,
# this many hosts of a pool are drained of them at a time, since further ones
# would be reserved without progress.
_MIN_DRAINING: Final = 2
# Time to drain a host of long-running runs and maintain it.
_LONG_RUNNING_ROUND_SECONDS: Final = 12.0
# `max_down` divided by this is the number of hosts with long-running runs that
# precede hosts with other runs, since they take the longest to drain.
_LONG_RUNNING_DIVISOR: Final = 2
# Time to drain a host of other runs and maintain it.
_ROUND_SECONDS: Final = 6.0


@frozen
class HostLoad:
    """Load of a host."""

    runs: int
    # Estimated seconds until the last of its runs ends.
    remaining_seconds: float
    # A run goes on until it is stopped, and has to be moved first.
    has_long_running: bool = False


@frozen
class WavePlan:
    """Workers to reserve and to drain by force, and hosts to order down."""

    reserved: frozenset[WorkerId]
    # Workers whose runs must be stopped, since the deadline is near.
    urgent: frozenset[WorkerId]
    ordered: tuple[ListedHost, ...]


@define(eq=False)
class WavePlanner:
    """Planner of the next steps of a wave.

    Idle hosts go down first. The number of reserved hosts is limited by
    `max_down` and by a share of each pool, so that the pools can serve new
    work meanwhile. Unless the deadline is near, hosts of a pool that is short
    of capacity stay up, except those with long-running runs, which take long
    to drain.
    """

    def plan(
        self,
        progress: WaveProgress,
        hosts: Mapping[HostId, ListedHost],
        loads: Mapping[WorkerId, HostLoad],
        now: Moment,
        short_pools: Collection[PoolName] = (),
    ) -> WavePlan:
        """Plan the next step, given the pools that are short of capacity."""
        waiting = [
            hosts[host]
            for host in progress.get_hosts(HostStep.waiting)
            if host in hosts and hosts[host].state == HostState.up
        ]
        is_urgent = _is_urgent(progress, waiting, hosts, now)
        candidates = [
            host
            for host in waiting
            if is_urgent
            or host.pool not in short_pools
            or _get_load(host, loads).has_long_running
        ]
        remaining = progress.wave.deadline - now.wall
        chosen = self._choose(progress, hosts, candidates, loads, remaining)
        idle = [host for host in chosen if not _get_load(host, loads).runs]
        workers = frozenset(host.worker for host in chosen)
        return WavePlan(
            reserved=workers,
            urgent=workers if is_urgent else frozenset(),
            ordered=tuple(idle),
        )

    def _choose(
        self,
        progress: WaveProgress,
        hosts: Mapping[HostId, ListedHost],
        waiting: Sequence[ListedHost],
        loads: Mapping[WorkerId, HostLoad],
        remaining_seconds: float,
    ) -> list[ListedHost]:
        allowed = progress.wave.max_down - progress.count_down_hosts()
        sizes = _get_sizes(hosts)
        down = _count_down(progress, hosts)
        preferred, deferred = _split_long_running(
            waiting, loads, remaining_seconds
        )
        chosen: list[ListedHost] = []
        for host in _sort(
            waiting,
            preferred[: progress.wave.max_down // _LONG_RUNNING_DIVISOR],
            loads,
        ):
            if len(chosen) >= allowed:
                break
            is_at_limit = down[host.pool] >= _get_limit(sizes, host.pool)
            if host not in deferred and not is_at_limit:
                down[host.pool] += 1
                chosen.append(host)
        return chosen


_DOWN_STEPS: Final = frozenset((HostStep.ordered, HostStep.taken))
_NO_LOAD: Final = HostLoad(0, 0)


def _get_load(
    host: ListedHost,
    loads: Mapping[WorkerId, HostLoad],
) -> HostLoad:
    return loads.get(host.worker, _NO_LOAD)


def _count_down(
    progress: WaveProgress,
    hosts: Mapping[HostId, ListedHost],
) -> 'Counter[PoolName]':
    return Counter(
        host.pool
        for host in hosts.values()
        if host.state != HostState.up
        or progress.steps.get(host.host) in _DOWN_STEPS
    )


def _split_long_running(
    waiting: Sequence[ListedHost],
    loads: Mapping[WorkerId, HostLoad],
    remaining_seconds: float,
) -> tuple[list[ListedHost], list[ListedHost]]:
    """Split the hosts with long-running runs into those drained now or later.

    The time until the deadline decides how many are drained at a time.
    """
    long_running = [
        host for host in waiting if _get_load(host, loads).has_long_running
    ]
    rounds = max(remaining_seconds / _LONG_RUNNING_ROUND_SECONDS, 1)
    limits = {
        pool: max(math.ceil(count / rounds), _MIN_DRAINING)
        for pool, count in Counter(host.pool for host in long_running).items()
    }
    preferred: list[ListedHost] = []
    deferred: list[ListedHost] = []
    for host in long_running:
        limits[host.pool] -= 1
        (deferred if limits[host.pool] < 0 else preferred).append(host)
    return preferred, deferred


def _sort(
    waiting: Sequence[ListedHost],
    preferred: Collection[ListedHost],
    loads: Mapping[WorkerId, HostLoad],
) -> list[ListedHost]:
    """Sort idle hosts first, then preferred ones, then by remaining time."""
    return sorted(waiting, key=lambda host: _get_key(host, preferred, loads))


def _get_key(
    host: ListedHost,
    preferred: Collection[ListedHost],
    loads: Mapping[WorkerId, HostLoad],
) -> tuple[bool, bool, float]:
    load = _get_load(host, loads)
    return bool(load.runs), host not in preferred, load.remaining_seconds


def _get_sizes(hosts: Mapping[HostId, ListedHost]) -> 'Counter[PoolName]':
    return Counter(host.pool for host in hosts.values())


def _get_limit(sizes: Mapping[PoolName, int], pool: PoolName) -> int:
    return max(int(sizes[pool] * _MAX_UNAVAILABLE_SHARE), 1)


def _is_urgent(
    progress: WaveProgress,
    waiting: Sequence[ListedHost],
    hosts: Mapping[HostId, ListedHost],
    now: Moment,
) -> bool:
    """Return whether waiting for runs to end would miss the deadline."""
    sizes = _get_sizes(hosts)
    rounds = 1 + len(waiting) // max(progress.wave.max_down, 1)
    for pool, count in Counter(host.pool for host in waiting).items():
        rounds = max(rounds, math.ceil(count / _get_limit(sizes, pool)))
    remaining = progress.wave.deadline - now.wall
    return remaining < rounds * _ROUND_SECONDS
