"""Changes to pools."""

from typing import ClassVar

from attrs import frozen
from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_fleet.messages import Pool
from hornbeamstair_operators.capacity import check_capacity
from hornbeamstair_operators.changes.base import Change
from hornbeamstair_operators.tables import ControlTables

__all__ = ('DeclarePoolChange',)


@frozen
class DeclarePoolChange(Change):
    """Change that declares the hosts of a pool."""

    kind: ClassVar[str] = 'declare_pool'

    pool: Pool

    def get_subject(self) -> str:
        """Get the key of the subject, for which revisions are counted."""
        return f'pool/{self.pool.pool}'

    def check(self, tables: ControlTables) -> Result[None, Failure]:
        """Refuse a pool with a host of another pool or too few slots."""
        pools = {**tables.pools.pools, self.pool.pool: self.pool}
        return tables.pools.check(self.pool).bind(
            lambda _: check_capacity(tables.contracts.values(), pools.values()),
        )

    def apply(self, tables: ControlTables) -> None:
        """Put the pool in force."""
        tables.pools.declare(self.pool)
