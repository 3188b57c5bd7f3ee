"""Changes to contracts."""

from typing import ClassVar

from attrs import frozen
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId
from hornbeamstair_operators.capacity import check_capacity
from hornbeamstair_operators.changes.base import Change
from hornbeamstair_operators.failures import NotFoundFailure
from hornbeamstair_operators.messages import Contract
from hornbeamstair_operators.tables import ControlTables

__all__ = ('ApplyContractChange', 'RemoveContractChange')


@frozen
class ApplyContractChange(Change):
    """Change that creates or replaces a contract."""

    kind: ClassVar[str] = 'apply_contract'

    contract: Contract

    def get_subject(self) -> str:
        """Get the key of the subject, for which revisions are counted."""
        return f'contract/{self.contract.customer}'

    def check(self, tables: ControlTables) -> Result[None, Failure]:
        """Refuse a contract that promises more than the pools can guarantee."""
        contracts = {
            **tables.contracts,
            self.contract.customer: self.contract,
        }
        return check_capacity(contracts.values(), tables.pools.pools.values())

    def apply(self, tables: ControlTables) -> None:
        """Put the contract in force."""
        tables.contracts[self.contract.customer] = self.contract


@frozen
class RemoveContractChange(Change):
    """Change that removes a contract."""

    kind: ClassVar[str] = 'remove_contract'

    customer: CustomerId

    def get_subject(self) -> str:
        """Get the key of the subject, for which revisions are counted."""
        return f'contract/{self.customer}'

    def check(self, tables: ControlTables) -> Result[None, Failure]:
        """Refuse to remove a contract that does not exist."""
        if self.customer not in tables.contracts:
            return Error(NotFoundFailure('contract', self.customer))
        return Ok(None)

    def apply(self, tables: ControlTables) -> None:
        """Remove the contract."""
        tables.contracts.pop(self.customer)
