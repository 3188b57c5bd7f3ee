"""Changes of the voters by the leader, one at a time."""

from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_replicas.events import VotersChangeEvent
from hornbeamstair_replicas.membership.planner import (
    AddVoter,
    MembershipPlanner,
    RemoveVoter,
    VoterChange,
)
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('reconcile_members',)


def reconcile_members(
    role: LeaderRole,
    planner: MembershipPlanner,
    zone: ZoneName,
    now: float,
) -> VotersChangeEvent | None:
    """Set the learners and start the next planned change of the voters."""
    leader = role.state.voter
    planner.handle_report(leader, zone, now)
    contact_ages = {
        voter: role.get_contact_age(voter, now)
        for voter in role.state.log.get_voters()
    }
    learner_ages = {
        voter: role.get_contact_age(voter, now) for voter in role.learners
    }
    role.set_learners(
        planner.choose_learners(contact_ages, learner_ages, now),
        now,
    )
    if not role.can_change_voters():
        return None
    change = planner.plan(
        leader,
        contact_ages,
        role.get_caught_up_learners(now),
        now,
    )
    if change is None:
        return None
    replication_seconds = role.replicator.get_replication_seconds(
        change.voter,
        now,
    )
    outcome = _apply_change(role, change, now)
    return VotersChangeEvent(
        type(change).__name__,
        change.voter,
        outcome.error.describe() if outcome.is_error() else '',
        len(contact_ages),
        ' '.join(planner.get_unreachable(contact_ages)),
        ' '.join(planner.get_non_voters(contact_ages, now)),
        to_milliseconds(replication_seconds),
    )


def _apply_change(
    role: LeaderRole,
    change: VoterChange,
    now: float,
) -> Result[None, Failure]:
    match change:
        case AddVoter(voter):
            return role.add_voter(voter, now)
        case RemoveVoter(voter):
            return role.remove_voter(voter, now)
    return Result.Ok(None)
