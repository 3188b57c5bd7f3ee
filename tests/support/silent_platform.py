"""Fake platform whose orders stay unanswered and whose lists may fail."""

from typing import ClassVar

from attrs import define, field

from hornbeamstair_core.ids import HostId, PoolName, WorkerId, ZoneName
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    HostState,
    ListedHost,
    Wave,
    WaveDeclared,
)
from tests.support.waves import WaveModel
from tests.support.work_model import WorkModel

__all__ = ('SilentPlatformClient', 'make_silent_move', 'make_silent_wave')


@define(eq=False)
class SilentPlatformClient(HostsClient):
    """Fake platform that answers the first order late, or never."""

    name: ClassVar[str] = 'silent'

    hosts: dict[HostId, ListedHost]
    # Answer to the orders after the first one.
    later_outcome: HostOutcome = HostOutcome.unknown
    is_listing: bool = True
    # Hosts that the list lacks for a moment.
    unlisted: set[HostId] = field(factory=set)
    # Hosts of the orders in the order of their arrival.
    ordered: list[HostId] = field(factory=list)

    async def list_hosts(self) -> tuple[ListedHost, ...] | None:
        """List the hosts, unless the list cannot be read."""
        if not self.is_listing:
            return None
        return tuple(
            host
            for host_id, host in self.hosts.items()
            if host_id not in self.unlisted
        )

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Leave the first order without an answer."""
        return self._answer(order)

    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Leave the first order without an answer."""
        return self._answer(order)

    def _answer(self, order: HostOrder) -> HostOutcome:
        self.ordered.append(order.host)
        if len(self.ordered) == 1:
            return HostOutcome.unknown
        return self.later_outcome


def make_silent_wave(model: WorkModel, count: int, max_down: int) -> WaveModel:
    """Make a wave of hosts of different pools, beside a host without one."""
    client = _make_client(count + 1)
    waves = WaveModel(model.scheduler, client, ())
    hosts = tuple(client.hosts)[:count]
    wave = Wave(2, hosts, waves.now, waves.now + 60, max_down)
    waves.table.apply(WaveDeclared(wave))
    return waves


def make_silent_move(model: WorkModel) -> WaveModel:
    """Make two hosts of which none moves yet."""
    return WaveModel(model.scheduler, _make_client(2), ())


def _make_client(count: int) -> SilentPlatformClient:
    hosts = [_make_host(number) for number in range(count)]
    return SilentPlatformClient({host.host: host for host in hosts})


def _make_host(number: int) -> ListedHost:
    return ListedHost(
        HostId(f'm{number}'),
        PoolName(f'p{number}'),
        HostState.up,
        ZoneName('z'),
        'r1',
        WorkerId(''),
    )
