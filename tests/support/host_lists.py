"""Fake platform whose lists of hosts and outcomes of orders a test sets."""

from typing import ClassVar

from attrs import define, evolve, field

from hornbeamstair_core.ids import HostId, PoolName, WorkerId, ZoneName
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.waves.messages import (
    HostOrder,
    HostOutcome,
    HostState,
    ListedHost,
)

__all__ = ('ScriptedHostsClient', 'make_listed_host')


@define(eq=False)
class ScriptedHostsClient(HostsClient):
    """Fake platform; the first order about a host replaces its worker."""

    name: ClassVar[str] = 'scripted'

    hosts: dict[HostId, ListedHost]
    # Outcomes of the next orders; later ones have the last outcome.
    outcomes: list[HostOutcome]
    is_readable: bool = True
    # Hosts that the lists lack.
    hidden: set[HostId] = field(factory=set)
    # Whether orders are executed, with or without an answer.
    executes: bool = False
    ordered: list[HostId] = field(factory=list)

    async def list_hosts(self) -> tuple[ListedHost, ...] | None:
        """List the hosts; None while the list cannot be read."""
        if not self.is_readable:
            return None
        return tuple(
            host for host in self.hosts.values() if host.host not in self.hidden
        )

    async def maintain(
        self,
        order: HostOrder,
        wave: int,
    ) -> HostOutcome:
        """Give the next outcome."""
        return self._give_outcome(order.host)

    async def move(
        self,
        order: HostOrder,
        pool: PoolName,
    ) -> HostOutcome:
        """Give the next outcome."""
        return self._give_outcome(order.host)

    def _give_outcome(self, host_id: HostId) -> HostOutcome:
        if self.executes and host_id not in self.ordered:
            host = self.hosts[host_id]
            after = WorkerId(f'{host.worker}-after')
            self.hosts[host_id] = evolve(host, worker=after)
        self.ordered.append(host_id)
        if len(self.outcomes) > 1:
            return self.outcomes.pop(0)
        return self.outcomes[0]


def make_listed_host(host: str, worker: WorkerId) -> ListedHost:
    """Make a host that is up, in a pool of its own."""
    return ListedHost(
        HostId(host),
        PoolName(f'pool-{host}'),
        HostState.up,
        ZoneName('z'),
        'r1',
        worker,
    )
