"""Steps of a leader towards voters that bear the losses."""

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

__all__ = ('lead_members',)


def lead_members(
    role: LeaderRole,
    planner: MembershipPlanner,
    zone: ZoneName,
    now: float,
) -> VotersChangeEvent | None:
    """Feed spares, and begin the next change of the voters if one is due."""
    own = role.state.voter
    planner.record_report(own, zone, now)
    silence = {
        voter: role.get_contact_age(voter, now)
        for voter in role.state.log.get_voters()
    }
    fed = {voter: role.get_contact_age(voter, now) for voter in role.learners}
    role.set_learners(planner.choose_learners(silence, fed, now), now)
    if not role.can_change_voters():
        return None
    change = planner.plan(own, silence, role.get_caught_up_learners(now), now)
    if change is None:
        return None
    fed_seconds = role.replicator.get_replication_seconds(change.voter, now)
    outcome = _change(role, change, now)
    return VotersChangeEvent(
        type(change).__name__,
        change.voter,
        outcome.error.describe() if outcome.is_error() else '',
        len(silence),
        ' '.join(planner.get_lost(silence)),
        ' '.join(planner.get_spares(silence, now)),
        to_milliseconds(fed_seconds),
    )


def _change(
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
