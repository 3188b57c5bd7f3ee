"""Platforms of few hosts, and waves carried out against them."""

from asyncio import run, sleep
from collections.abc import Sequence
from typing import Any, ClassVar

from attrs import define, evolve, field
from expression import Ok, Result

from hornbeamstair_callers.endpoints.host_list import HostList
from hornbeamstair_callers.endpoints.maintenance import MaintenanceKeeper
from hornbeamstair_callers.endpoints.moves import MoveKeeper
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import HostId, PoolName, WorkerId, ZoneName
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.moves.messages import Move, MoveBegun
from hornbeamstair_fleet.moves.table import MoveTable
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    HostState,
    ListedHost,
    Wave,
    WaveDeclared,
)
from hornbeamstair_fleet.waves.table import WaveTable
from tests.support.work_model import WorkModel

STEP = 0.2


@define(eq=False)
class OneHost(HostsClient):
    """Platform with one host."""

    name: ClassVar[str] = 'one'

    host: ListedHost
    outcome: HostOutcome = HostOutcome.unknown

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """List the host."""
        return (self.host,)

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Answer as told; a taken order replaces the worker."""
        if self.outcome == HostOutcome.done:
            self.host = evolve(self.host, worker=WorkerId('after'))
        return self.outcome

    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Refuse any move."""
        return HostOutcome.refused


@define(eq=False)
class ManyHosts(HostsClient):
    """Platform that takes orders and counts those on their way."""

    name: ClassVar[str] = 'many'

    hosts: dict[HostId, ListedHost]
    # Orders beyond so many at a time are throttled.
    limit: int = 1000
    on_the_way: int = 0
    # The most orders that were on their way at a time.
    most: int = 0

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """List the hosts."""
        return tuple(self.hosts.values())

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Take an order a moment later; the worker is another one then."""
        if self.on_the_way >= self.limit:
            return HostOutcome.throttled
        self.on_the_way += 1
        self.most = max(self.most, self.on_the_way)
        await sleep(0)
        self.on_the_way -= 1
        host = self.hosts[order.host]
        worker = WorkerId(f'{host.worker}-after')
        self.hosts[order.host] = evolve(host, worker=worker)
        return HostOutcome.done

    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Throttle any move."""
        return HostOutcome.throttled


@define(eq=False)
class NoMoves:
    """Moves that are never planned."""

    moving: set[HostId] = field(factory=set)

    async def carry_on(self, scheduler: Scheduler) -> None:
        """Plan nothing."""

    def get_short(self) -> set[PoolName]:
        """Get the pools that lack room: none."""
        return set()

    def get_moving(self) -> set[HostId]:
        """Get the hosts that are on their way."""
        return self.moving

    def get_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may leave: none."""
        return set()


@define(eq=False)
class ModelWaves:
    """Keeper of waves on a passed clock; it is its own runner."""

    scheduler: Scheduler
    client: HostsClient
    hosts: tuple[HostId, ...]
    now: float = 100
    table: WaveTable = field(factory=WaveTable)
    commits: int = 0
    moves: NoMoves = field(factory=NoMoves)
    begun: MoveTable = field(factory=MoveTable)
    keeper: MaintenanceKeeper = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Declare a wave of the hosts, all of which may be down."""
        limit = len(self.hosts)
        wave = Wave(1, self.hosts, self.now, self.now + 60, limit)
        self.table.apply(WaveDeclared(wave))
        self.keeper = MaintenanceKeeper(
            'holder',
            self.table,
            self,
            HostList(self.client, lambda: self.now),
            lambda: Moment(self.now, self.now),
            self.moves,
        )

    def make_mover(self) -> MoveKeeper:
        """Make a keeper of moves beside the waves."""
        return MoveKeeper(
            'holder',
            self.begun,
            self.table,
            self,
            self.keeper.hosts,
            self.keeper.get_moment,
        )

    def order_move(self, host: HostId) -> None:
        """Order a move as its keeper does."""
        move = Move(host, PoolName('p'), PoolName('q'), WorkerId(''))
        run(self.make_mover().begin((move,)))

    async def commit(self, records: Sequence[Record]) -> Result[None, Any]:
        """Apply records at once."""
        self.commits += 1
        for record in records:
            self.table.apply(record)
            self.begun.apply(record)
        return Ok(None)

    def find_scheduler(self) -> Scheduler:
        """Find the scheduler."""
        return self.scheduler

    def pass_time(self, seconds: float) -> None:
        """Let the keeper work."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            run(self.keeper.carry_on_all(self.scheduler))


def make_waves(model: WorkModel) -> ModelWaves:
    """Make a wave of one host."""
    client = OneHost(_make_host('m', 'p', 'before'))
    return ModelWaves(model.scheduler, client, (client.host.host,))


def make_large_wave(model: WorkModel, count: int) -> ModelWaves:
    """Make a wave of idle hosts, each of another pool."""
    hosts = [
        _make_host(f'm{number}', f'p{number}', f'before-{number}')
        for number in range(count)
    ]
    client = ManyHosts({host.host: host for host in hosts})
    return ModelWaves(model.scheduler, client, tuple(client.hosts))


def make_arrived_moves(model: WorkModel, count: int) -> ModelWaves:
    """Make moves whose hosts are where they were to go, without a wave."""
    waves = make_large_wave(model, count)
    waves = ModelWaves(model.scheduler, waves.client, ())
    for number in range(count):
        move = Move(
            HostId(f'm{number}'),
            PoolName('origin'),
            PoolName(f'p{number}'),
            WorkerId(''),
        )
        waves.begun.apply(MoveBegun(move))
    return waves


def _make_host(host: str, pool: str, worker: str) -> ListedHost:
    return ListedHost(
        HostId(host),
        PoolName(pool),
        HostState.up,
        ZoneName('z'),
        'r1',
        WorkerId(worker),
    )
