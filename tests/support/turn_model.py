"""Pools of hosts under a demand that comes by turns, without a network."""

from collections import Counter
from collections.abc import Callable
from random import Random

from attrs import define, field

from hornbeamstair_core.ids import HostId, PoolName, WorkerId, ZoneName
from hornbeamstair_fleet.moves.messages import PoolDemand
from hornbeamstair_fleet.moves.planner import MovePlanner
from hornbeamstair_fleet.moves.turns import WorkArrivals
from hornbeamstair_fleet.moves.views import PoolView
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_fleet.waves.planner import HostLoad

STEP_SECONDS = 0.1
PLAN_SECONDS = 0.2
# Time from a move until the worker of the host accepts runs.
MOVE_SECONDS = 2.2
HOST_CPU = 64_000
STANDBY = PoolName('standby')
# Jobs of a pool: tasks, CPU of a task, its mean run time in seconds, and the
# time after which the job counts as late, as a multiple of that.
TASKS = 8
TASK_CPU = 6_400
RUN_SECONDS = 1.0
JOB_WORK = 51_200
LATE_RATIO = 2.0
# Margin of the estimate of a run time when a job is taken for late.
MARGIN = 0.4
# Time in which the work of late jobs is to be done.
OVERDUE = 5


@define(eq=False)
class ModelJob:
    """Job whose tasks start as there is room."""

    begin: float
    waiting: int = TASKS
    running: int = 0


@define(eq=False)
class ModelHost:
    """Host with the runs of its jobs, as end time and job."""

    name: HostId
    pool: PoolName
    runs: list[tuple[float, ModelJob]] = field(factory=list)
    arrives_at: float = 0

    @property
    def free_cpu(self) -> int:
        """Get the CPU that no run takes."""
        return HOST_CPU - len(self.runs) * TASK_CPU


@define(eq=False)
class TurnModel:
    """Pools that share hosts, and what their callers get."""

    rng: Random
    # Jobs a second of a pool, by its number and the time.
    get_rate: Callable[[int, float], float]
    pools: tuple[PoolName, ...]
    hosts: list[ModelHost]
    planner: MovePlanner = field(factory=MovePlanner)
    now: float = 100
    jobs: dict[PoolName, list[ModelJob]] = field(factory=dict)
    arrivals: dict[PoolName, WorkArrivals] = field(factory=dict)
    in_time: 'Counter[PoolName]' = field(factory=Counter)
    accepted: 'Counter[PoolName]' = field(factory=Counter)
    moves: int = 0
    # Seconds of hosts in serving pools.
    host_seconds: float = 0

    def run(self, seconds: float) -> None:
        """Play for some time."""
        steps = round(seconds / STEP_SECONDS)
        for step in range(steps):
            self.now += STEP_SECONDS
            self._finish_runs()
            for number, pool in enumerate(self.pools):
                self._accept_jobs(number, pool)
                self._start_tasks(pool)
            if not step % round(PLAN_SECONDS / STEP_SECONDS):
                self._move_hosts()
            serving = sum(host.pool != STANDBY for host in self.hosts)
            self.host_seconds += serving * STEP_SECONDS

    def reset_figures(self) -> None:
        """Count from now on."""
        self.in_time.clear()
        self.accepted.clear()
        self.host_seconds = 0
        self.moves = 0

    def get_share_in_time(self) -> float:
        """Get the share of the jobs that ended in time."""
        return self.in_time.total() / max(self.accepted.total(), 1)

    def _finish_runs(self) -> None:
        for host in self.hosts:
            ended = [run for run in host.runs if run[0] <= self.now]
            host.runs = [run for run in host.runs if run[0] > self.now]
            for _, job in ended:
                job.running -= 1
                if not job.waiting and not job.running:
                    self._end_job(host.pool, job)

    def _end_job(self, pool: PoolName, job: ModelJob) -> None:
        self.jobs[pool].remove(job)
        self.in_time[pool] += self.now - job.begin <= LATE_RATIO * RUN_SECONDS

    def _accept_jobs(self, number: int, pool: PoolName) -> None:
        expected = self.get_rate(number, self.now) * STEP_SECONDS
        count = int(expected) + (self.rng.random() < expected - int(expected))
        jobs = self.jobs.setdefault(pool, [])
        arrivals = self.arrivals.setdefault(pool, WorkArrivals())
        for _ in range(count):
            jobs.append(ModelJob(self.now))
            arrivals.add(self.now, JOB_WORK)
        self.accepted[pool] += count

    def _start_tasks(self, pool: PoolName) -> None:
        usable = self._get_usable(pool)
        usable.sort(key=lambda host: host.free_cpu)
        waiting = [job for job in self.jobs[pool] if job.waiting]
        waiting.sort(key=lambda job: (self._is_late(job), job.begin))
        for host in usable:
            while waiting and host.free_cpu >= TASK_CPU:
                seconds = self.rng.uniform(0.7, 1.3) * RUN_SECONDS
                host.runs.append((self.now + seconds, waiting[0]))
                waiting[0].running += 1
                waiting[0].waiting -= 1
                if not waiting[0].waiting:
                    waiting.pop(0)

    def _get_usable(self, pool: PoolName) -> list[ModelHost]:
        return [
            host
            for host in self.hosts
            if host.pool == pool
            and host.arrives_at <= self.now
            and host.name not in self.planner.draining
        ]

    def _is_late(self, job: ModelJob) -> bool:
        latest = job.begin + (LATE_RATIO - 1 - MARGIN) * RUN_SECONDS
        return job.waiting > 0 and self.now > latest

    def _move_hosts(self) -> None:
        by_name = {host.name: host for host in self.hosts}
        for move in self.planner.plan(self._get_view(), self.now):
            host = by_name[move.host]
            host.pool = move.pool
            host.arrives_at = self.now + MOVE_SECONDS
            self.moves += 1

    def _get_view(self) -> PoolView:
        listed = {host.name: list_host(host) for host in self.hosts}
        demands = {pool: self._get_demand(pool) for pool in self.pools}
        demands[STANDBY] = PoolDemand(STANDBY, True, 0, 0, 0, HOST_CPU, 0)
        moving = {
            host.name: host.pool
            for host in self.hosts
            if host.arrives_at > self.now
        }
        loads = {
            listed[host.name].worker: HostLoad(len(host.runs), 0)
            for host in self.hosts
        }
        return PoolView(demands, listed, loads, moving, self.arrivals)

    def _get_demand(self, pool: PoolName) -> PoolDemand:
        jobs = self.jobs[pool]
        late = sum(job.waiting for job in jobs if self._is_late(job))
        waiting = sum(job.waiting for job in jobs) - late
        running = sum(job.running for job in jobs)
        late_cpu = round(late * TASK_CPU / OVERDUE)
        return PoolDemand(
            pool,
            False,
            (running + waiting) * TASK_CPU + late_cpu,
            TASKS * TASK_CPU,
            HOST_CPU * len(self._get_usable(pool)),
            HOST_CPU,
            0,
            waiting_work=waiting * TASK_CPU,
            late=late_cpu,
        )


def list_host(host: ModelHost) -> ListedHost:
    """List a host as the platform does."""
    return ListedHost(
        host.name,
        host.pool,
        HostState.up,
        ZoneName('z'),
        'r1',
        WorkerId(f'w-{host.name}'),
    )


def make_turn_model(
    rng: Random, get_rate: Callable[[int, float], float]
) -> TurnModel:
    """Make four pools that share 64 hosts with the standby pool."""
    pools = tuple(PoolName(f'pool-{number}') for number in range(4))
    homes = (*pools, STANDBY, STANDBY)
    hosts = [
        ModelHost(HostId(f'm{number}'), homes[number % len(homes)])
        for number in range(60)
    ]
    return TurnModel(rng, get_rate, pools, hosts)
