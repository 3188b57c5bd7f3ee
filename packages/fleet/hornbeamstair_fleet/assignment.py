"""Assignment of hosts to pools; a host belongs to at most one pool."""

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import HostId, PoolName
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_fleet.failures import HostTakenFailure
from hornbeamstair_fleet.messages import Pool

__all__ = ('PoolTable',)


@define
class PoolTable:
    """Pools by name, and the pool of each host."""

    pools: dict[PoolName, Pool] = field(factory=dict)
    pool_by_host: dict[HostId, PoolName] = field(factory=dict)

    def check(self, pool: Pool) -> Result[None, Failure]:
        """Refuse a pool that contains a host of another pool."""
        for host in pool.hosts:
            owner = self.pool_by_host.get(host.host, pool.pool)
            if owner != pool.pool:
                return Error(HostTakenFailure(host.host, owner))
        return Ok(None)

    def declare(self, pool: Pool) -> None:
        """Add a pool, or replace the pool of the same name."""
        previous = self.pools.get(pool.pool)
        for old_host in previous.hosts if previous else ():
            self.pool_by_host.pop(old_host.host)
        for host in pool.hosts:
            check_invariant(
                host.host not in self.pool_by_host,
                'a host belongs to one pool',
                f'{host.host} is in {self.pool_by_host.get(host.host)}',
            )
            self.pool_by_host[host.host] = pool.pool
        self.pools[pool.pool] = pool
