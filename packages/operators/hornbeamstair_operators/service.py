"""Operators' requests, apart from the protocol that carries them."""

from typing import cast

from attrs import frozen
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId
from hornbeamstair_fleet.messages import Pool
from hornbeamstair_operators.changes.base import ChangeRequest
from hornbeamstair_operators.codec import write_change_request
from hornbeamstair_operators.failures import NotFoundFailure
from hornbeamstair_operators.limits import LimitLine, explain_contract
from hornbeamstair_operators.messages import ChangeAnswer, Contract
from hornbeamstair_operators.state import ControlState
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.groups.admin import GroupAdmin
from hornbeamstair_replicas.groups.base import ReplicaGroup

__all__ = ('ContractRecord', 'OperatorsService')


@frozen
class ContractRecord:
    """Contract in force and its revision."""

    contract: Contract
    revision: int


@frozen
class OperatorsService:
    """Changes to the control state and what operators read back."""

    group: ReplicaGroup
    state_machine: ControlStateMachine
    admin: GroupAdmin

    def get_state(self) -> ControlState:
        """Get the control state in force."""
        return self.state_machine.state

    async def change(
        self,
        request: ChangeRequest,
    ) -> Result[ChangeAnswer, Failure]:
        """Commit a change; a resend gets the first answer."""
        known = self.get_state().find_answer(request.request_id)
        if known is not None:
            return Ok(known)
        if self.group.find_leading_role().is_ok():
            # Another process may lag behind: there only the log decides.
            checked = self.get_state().check(request)
            if checked.is_error():
                return Error(checked.error)
        committed = await self.group.propose(write_change_request(request))
        return committed.map(lambda answer: cast('ChangeAnswer', answer))

    def get_contracts(self) -> list[ContractRecord]:
        """Get the contracts in force by customer."""
        contracts = self.get_state().tables.contracts
        return [
            self._get_record(contracts[customer])
            for customer in sorted(contracts)
        ]

    def find_contract(
        self,
        customer: str,
    ) -> Result[ContractRecord, Failure]:
        """Find the contract of a customer."""
        contracts = self.get_state().tables.contracts
        contract = contracts.get(CustomerId(customer))
        if contract is None:
            return Error(NotFoundFailure('contract', customer))
        return Ok(self._get_record(contract))

    def explain(
        self,
        customer: str,
    ) -> Result[tuple[LimitLine, ...], Failure]:
        """Explain each limit that follows from a customer's contract."""
        return self.find_contract(customer).map(
            lambda found: explain_contract(found.contract),
        )

    def get_pools(self) -> list[Pool]:
        """Get the pools in force by name."""
        pools = self.get_state().tables.pools.pools
        return [pools[name] for name in sorted(pools)]

    def _get_record(self, contract: Contract) -> ContractRecord:
        revision = self.get_state().get_subject_revision(
            f'contract/{contract.customer}',
        )
        return ContractRecord(contract, revision)
