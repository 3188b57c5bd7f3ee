"""Fake platforms, and wave and move controllers that run against them."""

from asyncio import run, sleep
from collections.abc import Callable, Sequence
from typing import Any, ClassVar

from attrs import define, evolve, field
from expression import Ok, Result

from hornbeamstair_callers.endpoints.host_list import HostList
from hornbeamstair_callers.endpoints.maintenance import MaintenanceController
from hornbeamstair_callers.endpoints.moves import MoveController
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import HostId, PoolName, WorkerId, ZoneName
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.moves.messages import Move, MoveStarted
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

STEP_SECONDS = 0.2
MAINTENANCE_SECONDS = 2
NEXT_WORKER = WorkerId('w1')


@define(eq=False)
class OneHostClient(HostsClient):
    """Fake platform with one host."""

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
        """Return the set outcome; an accepted order replaces the worker."""
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
class SilentOnceClient(HostsClient):
    """Fake platform that executes the first order and does not answer it."""

    name: ClassVar[str] = 'silent once'

    host: ListedHost
    scheduler: Scheduler
    orders: int = 0
    # Whether the next worker of the host was reserved during the last order.
    was_reserved: bool = False

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """List the host."""
        return (self.host,)

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Replace the worker with the first order; the others are done."""
        return self._execute(self.host.pool)

    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Replace the worker with the first order, which does not move it."""
        return self._execute(self.host.pool)

    def _execute(self, pool: PoolName) -> HostOutcome:
        self.orders += 1
        if self.orders == 1:
            self.host = evolve(self.host, worker=NEXT_WORKER, pool=pool)
            return HostOutcome.unknown
        self.was_reserved = self.scheduler.sessions[NEXT_WORKER].is_reserved
        return HostOutcome.done


@define(eq=False)
class MutePlatformClient(HostsClient):
    """Fake platform with one host, whose refusals are lost on their way."""

    name: ClassVar[str] = 'mute'

    host: ListedHost
    get_time: Callable[[], float] = float
    back_at: float = 0
    # Waves for which a maintenance of the host has begun.
    begun: list[int] = field(factory=list)

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """List the host, which is back with another worker after a while."""
        is_back = self.get_time() >= self.back_at
        if self.host.state == HostState.maintenance and is_back:
            worker = WorkerId(f'after-{len(self.begun)}')
            self.host = evolve(self.host, state=HostState.up, worker=worker)
        return (self.host,)

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Begin a maintenance, or refuse it while the host is down."""
        if self.host.state != HostState.up:
            return HostOutcome.unknown
        self.begun.append(wave)
        self.back_at = self.get_time() + MAINTENANCE_SECONDS
        self.host = evolve(
            self.host, state=HostState.maintenance, worker=WorkerId('')
        )
        return HostOutcome.done

    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Refuse any move."""
        return HostOutcome.refused


@define(eq=False)
class ManyHostsClient(HostsClient):
    """Fake platform that accepts orders and counts concurrent ones."""

    name: ClassVar[str] = 'many'

    hosts: dict[HostId, ListedHost]
    # Further concurrent orders are throttled.
    max_concurrent: int = 1000
    concurrent: int = 0
    # Maximum number of concurrent orders.
    max_orders: int = 0

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """List the hosts."""
        return tuple(self.hosts.values())

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Accept an order after a moment; it replaces the worker."""
        if self.concurrent >= self.max_concurrent:
            return HostOutcome.throttled
        self.concurrent += 1
        self.max_orders = max(self.max_orders, self.concurrent)
        await sleep(0)
        self.concurrent -= 1
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
    """Move controller that plans no moves."""

    moving: set[HostId] = field(factory=set)

    async def reconcile(self, scheduler: Scheduler) -> None:
        """Plan nothing."""

    def get_short_pools(self) -> set[PoolName]:
        """Get the pools that are short of capacity: none."""
        return set()

    def get_moving_hosts(self) -> set[HostId]:
        """Get the hosts that are set as moving."""
        return self.moving

    def get_ordered_workers(self) -> set[WorkerId]:
        """Get the workers whose hosts may leave by an order: none."""
        return set()


@define(eq=False)
class WaveModel:
    """Wave controller with a simulated clock; also serves as its runner."""

    scheduler: Scheduler
    client: HostsClient
    hosts: tuple[HostId, ...]
    now: float = 100
    table: WaveTable = field(factory=WaveTable)
    commits: int = 0
    moves: NoMoves = field(factory=NoMoves)
    move_table: MoveTable = field(factory=MoveTable)
    controller: MaintenanceController = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Declare a wave of the hosts, all of which may be down."""
        max_down = len(self.hosts)
        wave = Wave(1, self.hosts, self.now, self.now + 60, max_down)
        self.table.apply(WaveDeclared(wave))
        self.controller = MaintenanceController(
            'leader',
            self.table,
            self,
            HostList(self.client, lambda: self.now),
            lambda: Moment(self.now, self.now),
            self.moves,
        )

    def make_move_controller(self) -> MoveController:
        """Make a move controller beside the wave controller."""
        return MoveController(
            'leader',
            self.move_table,
            self.table,
            self,
            self.controller.hosts,
            self.controller.get_moment,
        )

    def order_move(self, host: HostId) -> None:
        """Start a move as the controller does."""
        move = Move(host, PoolName('p'), PoolName('q'), WorkerId(''))
        run(self.make_move_controller().start_moves((move,)))

    async def commit(self, records: Sequence[Record]) -> Result[None, Any]:
        """Apply records at once."""
        self.commits += 1
        for record in records:
            self.table.apply(record)
            self.move_table.apply(record)
        return Ok(None)

    def find_scheduler(self) -> Scheduler:
        """Find the scheduler."""
        return self.scheduler

    def run_for(self, seconds: float) -> None:
        """Run the wave controller for some time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            run(self.controller.reconcile(self.scheduler))


def make_waves(model: WorkModel) -> WaveModel:
    """Make a wave of one host."""
    client = OneHostClient(_make_host('m', 'p', 'before'))
    return WaveModel(model.scheduler, client, (client.host.host,))


def make_unanswered_wave(model: WorkModel) -> WaveModel:
    """Make a wave of one host whose next worker is known."""
    host = _make_host('m', 'p', 'w0')
    client = SilentOnceClient(host, model.scheduler)
    return WaveModel(model.scheduler, client, (host.host,))


def make_unanswered_move(model: WorkModel) -> WaveModel:
    """Make a move of a host that gets another worker without moving."""
    host = _make_host('m', 'p', 'w0')
    client = SilentOnceClient(host, model.scheduler)
    return WaveModel(model.scheduler, client, ())


def make_two_waves(model: WorkModel) -> WaveModel:
    """Make two waves that name the same host."""
    client = MutePlatformClient(_make_host('m', 'p', 'before'))
    waves = WaveModel(model.scheduler, client, (client.host.host,))
    client.get_time = lambda: waves.now
    second = Wave(2, waves.hosts, waves.now, waves.now + 60, 1)
    waves.table.apply(WaveDeclared(second))
    return waves


def make_large_wave(model: WorkModel, count: int) -> WaveModel:
    """Make a wave of idle hosts, each of another pool."""
    hosts = [
        _make_host(f'm{number}', f'p{number}', f'before-{number}')
        for number in range(count)
    ]
    client = ManyHostsClient({host.host: host for host in hosts})
    return WaveModel(model.scheduler, client, tuple(client.hosts))


def make_arrived_moves(model: WorkModel, count: int) -> WaveModel:
    """Make moves whose hosts are in their target pools, without a wave."""
    waves = make_large_wave(model, count)
    waves = WaveModel(model.scheduler, waves.client, ())
    for number in range(count):
        move = Move(
            HostId(f'm{number}'),
            PoolName('origin'),
            PoolName(f'p{number}'),
            WorkerId(''),
        )
        waves.move_table.apply(MoveStarted(move))
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
