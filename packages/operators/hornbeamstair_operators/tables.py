"""Tables of the control state."""

from attrs import define, field

from hornbeamstair_core.ids import CustomerId
from hornbeamstair_fleet.assignment import PoolTable
from hornbeamstair_operators.messages import Contract

__all__ = ('ControlTables',)


@define
class ControlTables:
    """Contracts and pools in force."""

    contracts: dict[CustomerId, Contract] = field(factory=dict)
    pools: PoolTable = field(factory=PoolTable)
