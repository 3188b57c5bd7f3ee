"""Steps with operators' changes through a leader whose state may be old."""

from asyncio import run
from typing import Any
from unittest.mock import create_autospec

from behave import given, then, when
from expression import Error, Ok

from hornbeamstair_core.ids import CustomerId, RequestId
from hornbeamstair_operators.changes.base import ChangeRequest
from hornbeamstair_operators.changes.contract import RemoveContractChange
from hornbeamstair_operators.service import OperatorsService
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.failures import NotCommittedFailure
from hornbeamstair_replicas.groups.admin import GroupAdmin
from hornbeamstair_replicas.groups.base import ReplicaGroup


@given('a leader that has no quorum and does not know a contract')
def make_lonely_leader(context: Any) -> None:
    """Make the service of a leader that commits nothing."""
    lost = Error(NotCommittedFailure('no quorum in time'))
    _make_service(context, lambda payload: lost)


@given('a leader with a quorum that does not know a contract')
def make_leader(context: Any) -> None:
    """Make the service of a leader that commits at once."""
    _make_service(
        context,
        lambda payload: Ok(context.service.state_machine.apply(1, payload)),
    )


@when('an operator has the contract removed through it')
def remove_contract(context: Any) -> None:
    """Remove a contract."""
    change = RemoveContractChange(CustomerId('grinders'))
    request = ChangeRequest(RequestId('r1'), None, change)
    context.outcome = run(context.service.change(request))


@then('the change is in doubt')
def check_in_doubt(context: Any) -> None:
    """Check that the outcome of the change is left open."""
    assert context.outcome.is_error(), context.outcome
    assert context.outcome.error.may_have_run, context.outcome


@then('the change is refused with code {code:d}')
def check_refused(context: Any, code: int) -> None:
    """Check the recorded refusal of the change."""
    assert not context.outcome.ok.accepted, context.outcome
    assert context.outcome.ok.code == code, context.outcome


def _make_service(context: Any, commit: Any) -> None:
    group = create_autospec(ReplicaGroup, instance=True)
    group.find_leader_role.return_value = Ok(None)
    group.propose.side_effect = commit
    context.service = OperatorsService(
        group,
        ControlStateMachine(),
        create_autospec(GroupAdmin, instance=True),
    )
