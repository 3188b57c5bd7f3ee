"""Decisions on which processes are added or removed as voters."""

from abc import ABC
from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.voter_ids import get_process

__all__ = ('AddVoter', 'MembershipPlanner', 'RemoveVoter', 'VoterChange')

# Processes report every 0.5 s.
_REPORT_VALID_SECONDS: Final = 1.6
# Longer than a restart of a process, which must not change the voters.
_UNREACHABLE_SECONDS: Final = 4.0
# An answer under the previous voter ID may still be in flight.
_SUPERSEDED_SECONDS: Final = 1.0
# Two voters tolerate no failure.
_MIN_VOTERS: Final = 3
# A zone with this many voters more than another can give one up.
_ZONE_IMBALANCE_VOTERS: Final = 2

ContactAges = Mapping[VoterId, float]


@frozen
class VoterChange(ABC):
    """Change of one voter of a group."""

    voter: VoterId


@frozen
class AddVoter(VoterChange):
    """Add a learner that has caught up as a voter."""


@frozen
class RemoveVoter(VoterChange):
    """Remove a process from the voters."""


@define(eq=False)
class MembershipPlanner:
    """Plans one change at a time towards the required fault tolerance.

    An unreachable voter is removed only after a replacement was added. A
    process with a wiped disk has a new voter ID; its previous ID can never
    vote again and is removed at once, which does not reduce the fault
    tolerance.
    """

    # Number of voters that may fail at once (fault tolerance).
    losses: int = 1
    last_reports: dict[VoterId, float] = field(factory=dict)
    zones: dict[VoterId, ZoneName] = field(factory=dict)
    # Times at which unreachable learners were dropped.
    failed: dict[VoterId, float] = field(factory=dict)

    def handle_report(
        self,
        voter: VoterId,
        zone: ZoneName,
        now: float,
    ) -> None:
        """Update the last report and the zone of a process that can vote."""
        self.last_reports[voter] = now
        self.zones[voter] = zone

    def plan(
        self,
        leader: VoterId,
        contact_ages: ContactAges,
        caught_up: Collection[VoterId],
        now: float,
    ) -> VoterChange | None:
        """Return the next change, or None; ages are seconds since an answer.

        Only processes that have caught up can be added.
        """
        superseded = self.get_superseded(contact_ages, now)
        if superseded:
            return RemoveVoter(superseded[0])
        target_count = self.get_target_count()
        unreachable = self.get_unreachable(contact_ages)
        if len(contact_ages) > target_count:
            return self._plan_removal(leader, contact_ages, unreachable)
        non_voters = [
            non_voter
            for non_voter in self.get_non_voters(contact_ages, now)
            if non_voter in caught_up
        ]
        needs_voter = len(contact_ages) < target_count or bool(unreachable)
        if not needs_voter:
            non_voters = self._select_balancing(non_voters, contact_ages)
        if non_voters:
            return AddVoter(
                self._sort_by_preference(non_voters, contact_ages)[0],
            )
        return None

    def get_target_count(self) -> int:
        """Return the number of voters that the fault tolerance requires."""
        return max(_MIN_VOTERS, 2 * self.losses + 1)

    def choose_learners(
        self,
        contact_ages: ContactAges,
        learner_ages: ContactAges,
        now: float,
    ) -> tuple[VoterId, ...]:
        """Choose the non-voters to replicate to, one per tolerated failure.

        Existing learners stay, unless they have become unreachable.
        """
        kept = [
            voter
            for voter in learner_ages
            if self._is_reachable(voter, learner_ages, now)
        ]
        kept = [voter for voter in kept if voter not in contact_ages]
        for dropped in set(learner_ages).difference(kept):
            self.failed[dropped] = now
        non_voters = [
            non_voter
            for non_voter in self.get_non_voters(contact_ages, now)
            if non_voter not in kept
        ]
        count = max(self.losses, 1) - len(kept)
        balancing = self._select_balancing(non_voters, contact_ages)
        if count <= 0 and not self._select_balancing(kept, contact_ages):
            return (
                *kept,
                *self._sort_by_preference(balancing, contact_ages)[:1],
            )
        return (
            *kept,
            *self._sort_by_preference(non_voters, contact_ages)[
                : max(count, 0)
            ],
        )

    def get_superseded(
        self,
        contact_ages: ContactAges,
        now: float,
    ) -> list[VoterId]:
        """Return the voters whose disk was wiped, oldest contact first."""
        return _sort_by_contact_age(
            contact_ages,
            [
                voter
                for voter, contact_age in contact_ages.items()
                if contact_age > _SUPERSEDED_SECONDS
                and self._is_superseded(voter, now - contact_age)
            ],
        )

    def get_unreachable(self, contact_ages: ContactAges) -> list[VoterId]:
        """Return the unreachable voters, oldest contact first."""
        return _sort_by_contact_age(
            contact_ages,
            [
                voter
                for voter, contact_age in contact_ages.items()
                if contact_age > _UNREACHABLE_SECONDS
            ],
        )

    def get_non_voters(
        self,
        contact_ages: ContactAges,
        now: float,
    ) -> list[VoterId]:
        """Return the non-voting processes that reported recently."""
        return sorted(
            voter
            for voter, reported_at in self.last_reports.items()
            if now - reported_at < _REPORT_VALID_SECONDS
            and voter not in contact_ages
        )

    def _is_superseded(self, voter: VoterId, answered_at: float) -> bool:
        # The contact age starts no earlier than the term and the addition of
        # the voter, so reports from before either do not supersede it.
        process = get_process(voter)
        answered_at = max(
            answered_at,
            self.last_reports.get(voter, answered_at),
        )
        return any(
            reported_at > answered_at
            for other, reported_at in self.last_reports.items()
            if other != voter and get_process(other) == process
        )

    def _is_reachable(
        self,
        voter: VoterId,
        learner_ages: ContactAges,
        now: float,
    ) -> bool:
        report_age = now - self.last_reports.get(voter, 0)
        return max(report_age, learner_ages[voter]) < _UNREACHABLE_SECONDS

    def _plan_removal(
        self,
        leader: VoterId,
        contact_ages: ContactAges,
        unreachable: list[VoterId],
    ) -> VoterChange | None:
        if unreachable:
            return RemoveVoter(unreachable[0])
        if max(contact_ages.values()) > _REPORT_VALID_SECONDS:
            # The voter without recent contact may be the one to remove.
            return None
        counts = self._count_zones(contact_ages)
        others = sorted(voter for voter in contact_ages if voter != leader)
        return RemoveVoter(
            max(others, key=lambda voter: counts[self._get_zone(voter)]),
        )

    def _select_balancing(
        self,
        non_voters: list[VoterId],
        contact_ages: ContactAges,
    ) -> list[VoterId]:
        """Return the non-voters that would balance the voters over zones."""
        is_known = all(voter in self.zones for voter in contact_ages)
        if not is_known or max(contact_ages.values()) > _REPORT_VALID_SECONDS:
            return []
        counts = self._count_zones(contact_ages)
        max_count = max(counts.values()) - _ZONE_IMBALANCE_VOTERS
        return [
            non_voter
            for non_voter in non_voters
            if counts[self._get_zone(non_voter)] <= max_count
        ]

    def _sort_by_preference(
        self,
        non_voters: list[VoterId],
        contact_ages: ContactAges,
    ) -> list[VoterId]:
        counts = self._count_zones(contact_ages)
        return sorted(
            non_voters,
            key=lambda voter: (
                self.failed.get(voter, 0),
                counts[self._get_zone(voter)],
                voter,
            ),
        )

    def _count_zones(self, contact_ages: ContactAges) -> 'Counter[ZoneName]':
        return Counter(
            self._get_zone(voter)
            for voter, contact_age in contact_ages.items()
            if contact_age <= _UNREACHABLE_SECONDS
        )

    def _get_zone(self, voter: VoterId) -> ZoneName:
        return self.zones.get(voter, ZoneName(''))


def _sort_by_contact_age(
    contact_ages: ContactAges,
    voters: list[VoterId],
) -> list[VoterId]:
    return sorted(voters, key=lambda voter: -contact_ages[voter])
