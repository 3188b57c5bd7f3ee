"""Steps with operators' changes of the voters through other processes."""

from asyncio import run
from time import monotonic
from typing import Any
from unittest.mock import create_autospec

from behave import given, then, when
from expression import Error

from hornbeamstair_core.ids import ProcessId, ZoneName
from hornbeamstair_replicas.admin_messages import VoterAction
from hornbeamstair_replicas.failures import NotLeaderFailure
from hornbeamstair_replicas.groups.admin import GroupAdmin
from hornbeamstair_replicas.groups.base import GroupStatus, ReplicaGroup
from hornbeamstair_replicas.learning.members import Member
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.transport.base import LocalTransport

OWN = ProcessId('e')


@given('a process whose leader "{leader}" answers nothing')
def make_admin(context: Any, leader: str) -> None:
    """Make the admin channel of a process that does not lead."""
    group = create_autospec(ReplicaGroup, instance=True)
    group.find_leader_role.return_value = Error(NotLeaderFailure(leader))
    group.get_status.return_value = GroupStatus(
        'control', 'learner', 1, leader, (), 0
    )
    context.admin = GroupAdmin(
        Member(OWN, ZoneName('z'), is_voter=False),
        (),
        group,
        LocalTransport(VoterId('e/')),
        int,
        monotonic,
    )


@given('a process that knows no leader')
def make_lost_admin(context: Any) -> None:
    """Make the admin channel of a process without a leader."""
    make_admin(context, '')


@when('an operator has voter "{voter}" removed through it')
def remove_voter(context: Any, voter: str) -> None:
    """Ask for the removal of a voter."""
    change = context.admin.change_voters(VoterAction.remove, VoterId(voter))
    context.outcome = run(change)


@then('the change fails with code {code:d} and may have been made')
def check_in_doubt(context: Any, code: int) -> None:
    """Check that the failure leaves the outcome open."""
    assert context.outcome.error.number == code, context.outcome
    assert context.outcome.error.may_have_run


@then('the change fails with code {code:d} and was not made')
def check_not_made(context: Any, code: int) -> None:
    """Check that the failure says that nothing was changed."""
    assert context.outcome.error.number == code, context.outcome
    assert not context.outcome.error.may_have_run
