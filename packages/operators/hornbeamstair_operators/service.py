"""Operators' service, independent of the protocol of its front end."""

from typing import cast

from attrs import frozen
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId
from hornbeamstair_fleet.messages import Pool
from hornbeamstair_operators.changes.base import ChangeRequest
from hornbeamstair_operators.codec import encode_change_request
from hornbeamstair_operators.failures import NotFoundFailure
from hornbeamstair_operators.limits import LimitExplanation, explain_contract
from hornbeamstair_operators.messages import ChangeAnswer, Contract
from hornbeamstair_operators.state import ControlState
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.groups.admin import GroupAdmin
from hornbeamstair_replicas.groups.base import ReplicaGroup

__all__ = ('OperatorsService', 'VersionedContract')


@frozen
class VersionedContract:
    """Contract in force with its revision."""

    contract: Contract
    revision: int


@frozen
class OperatorsService:
    """Service that commits changes and answers operators' queries."""

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
        """Commit a change; a resend gets the first answer.

        The change is checked when its entry is applied: the state of any
        process may be outdated before, also that of a leader.
        """
        previous = self.get_state().find_answer(request.request_id)
        if previous is not None:
            return Ok(previous)
        committed = await self.group.propose(encode_change_request(request))
        return committed.map(lambda answer: cast('ChangeAnswer', answer))

    def get_contracts(self) -> list[VersionedContract]:
        """Get the contracts in force, sorted by customer."""
        contracts = self.get_state().tables.contracts
        return [
            self._get_versioned_contract(contracts[customer])
            for customer in sorted(contracts)
        ]

    def find_contract(
        self,
        customer: str,
    ) -> Result[VersionedContract, Failure]:
        """Find the contract of a customer."""
        contracts = self.get_state().tables.contracts
        contract = contracts.get(CustomerId(customer))
        if contract is None:
            return Error(NotFoundFailure('contract', customer))
        return Ok(self._get_versioned_contract(contract))

    def explain(
        self,
        customer: str,
    ) -> Result[tuple[LimitExplanation, ...], Failure]:
        """Explain how each limit of a customer's contract is derived."""
        return self.find_contract(customer).map(
            lambda found: explain_contract(found.contract),
        )

    def get_pools(self) -> list[Pool]:
        """Get the pools in force, sorted by name."""
        pools = self.get_state().tables.pools.pools
        return [pools[name] for name in sorted(pools)]

    def _get_versioned_contract(self, contract: Contract) -> VersionedContract:
        revision = self.get_state().get_subject_revision(
            f'contract/{contract.customer}',
        )
        return VersionedContract(contract, revision)
