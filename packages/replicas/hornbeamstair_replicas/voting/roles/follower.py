"""Role of a voter that follows a leader or waits for one."""

from typing import ClassVar

from attrs import define

from hornbeamstair_replicas.voting.roles.base import (
    Role,
    RoleName,
    RoleTrigger,
)

__all__ = ('FollowerRole',)


@define(eq=False)
class FollowerRole(Role):
    """Follower: starts a pre-vote when it has no contact with a leader."""

    name: ClassVar[RoleName] = RoleName.follower

    def enter(self, now: float) -> RoleTrigger | None:
        """Start the election timeout."""
        self.state.is_transfer = False
        self.deadline = self.state.get_election_deadline(now)
        return None

    def tick(self, now: float) -> RoleTrigger | None:
        """Start a pre-vote when the election timeout has passed."""
        state = self.state
        if state.has_recent_leader(now):
            self.deadline = state.get_election_deadline(state.leader_contact_at)
        if now < self.deadline:
            return None
        self.deadline = state.get_election_deadline(now)
        return RoleTrigger.start_pre_vote if state.is_voter() else None
