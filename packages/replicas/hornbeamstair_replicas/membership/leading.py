"""Steps of a leader towards voters that are alive."""

from expression import Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.events import VotersChangeEvent
from hornbeamstair_replicas.membership.planner import (
    AbandonJoining,
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
    """Begin the next change of the voters, if one is due."""
    planner.note_report(role.state.voter, zone, now)
    silence = {
        voter: role.get_silence(voter, now)
        for voter in role.state.log.get_voters()
    }
    change = planner.plan(silence, role.joining, now)
    if change is None:
        return None
    outcome = _change(role, change, now)
    return VotersChangeEvent(
        type(change).__name__,
        change.voter,
        outcome.error.describe() if outcome.is_error() else '',
        len(silence),
        ' '.join(planner.get_lost(silence)),
        ' '.join(planner.get_spares(silence, now)),
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
        case AbandonJoining():
            role.abandon_joining()
    return Result.Ok(None)
