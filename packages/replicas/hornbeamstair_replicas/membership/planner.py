"""Decision which process becomes a voter and which ceases to be one."""

from abc import ABC
from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.voter_ids import get_process

__all__ = ('AddVoter', 'MembershipPlanner', 'RemoveVoter', 'VoterChange')

# Reports come twice a second.
_HEARD_SECONDS: Final = 1.6
# Longer than a restart of a process, so that a short stop changes nothing.
_SILENT_SECONDS: Final = 4.0
# An answer of the former identity may still be on its way.
_GONE_SECONDS: Final = 1.0
# Two voters bear no loss.
_FEWEST_VOTERS: Final = 3
# A zone that holds two voters more than another can give one up.
_UNEVEN_VOTERS: Final = 2

Silence = Mapping[VoterId, float]


@frozen
class VoterChange(ABC):
    """Change of the voters of a group."""

    voter: VoterId


@frozen
class AddVoter(VoterChange):
    """Let a process vote that is up to date."""


@frozen
class RemoveVoter(VoterChange):
    """Take the vote of a process."""


@define(eq=False)
class MembershipPlanner:
    """Plan one change at a time towards voters that bear the losses.

    A silent voter keeps its vote until another process has taken its place.
    A process with a wiped disk has a new identity; its former identity can
    never vote again and is removed at once, which costs no margin.
    """

    losses: int = 1
    heard: dict[VoterId, float] = field(factory=dict)
    zones: dict[VoterId, ZoneName] = field(factory=dict)
    failed: dict[VoterId, float] = field(factory=dict)

    def record_report(
        self,
        voter: VoterId,
        zone: ZoneName,
        now: float,
    ) -> None:
        """Note that a process that can vote is alive."""
        self.heard[voter] = now
        self.zones[voter] = zone

    def plan(
        self,
        own: VoterId,
        silence: Silence,
        ready: Collection[VoterId],
        now: float,
    ) -> VoterChange | None:
        """Plan the next change from each voter's seconds of silence.

        Only processes that are ready, because they are up to date, may join.
        """
        gone = self.get_gone(silence, now)
        if gone:
            return RemoveVoter(gone[0])
        wanted = self.get_wanted()
        lost = self.get_lost(silence)
        if len(silence) > wanted:
            return self._plan_removal(own, silence, lost)
        spares = [
            spare for spare in self.get_spares(silence, now) if spare in ready
        ]
        is_short = len(silence) < wanted or bool(lost)
        if not is_short:
            spares = self._get_evening(spares, silence)
        if spares:
            return AddVoter(self._sort_spares(spares, silence)[0])
        return None

    def get_wanted(self) -> int:
        """Get the number of voters that bear the losses."""
        return max(_FEWEST_VOTERS, 2 * self.losses + 1)

    def choose_learners(
        self,
        silence: Silence,
        fed: Silence,
        now: float,
    ) -> tuple[VoterId, ...]:
        """Choose the spares to keep up to date, as many as losses.

        One that is fed already stays, unless it has been silent for long.
        """
        kept = [voter for voter in fed if self._is_kept(voter, fed, now)]
        kept = [voter for voter in kept if voter not in silence]
        for dropped in set(fed).difference(kept):
            self.failed[dropped] = now
        spares = [
            spare
            for spare in self.get_spares(silence, now)
            if spare not in kept
        ]
        count = max(self.losses, 1) - len(kept)
        evening = self._get_evening(spares, silence)
        if count <= 0 and not self._get_evening(kept, silence):
            return (*kept, *self._sort_spares(evening, silence)[:1])
        return (*kept, *self._sort_spares(spares, silence)[: max(count, 0)])

    def get_gone(self, silence: Silence, now: float) -> list[VoterId]:
        """Get the voters whose disk was wiped, the longest silent first."""
        return _sort_silent(
            silence,
            [
                voter
                for voter, seconds in silence.items()
                if seconds > _GONE_SECONDS
                and self._is_superseded(voter, now - seconds)
            ],
        )

    def get_lost(self, silence: Silence) -> list[VoterId]:
        """Get the voters that are silent, the longest silent first."""
        return _sort_silent(
            silence,
            [
                voter
                for voter, seconds in silence.items()
                if seconds > _SILENT_SECONDS
            ],
        )

    def get_spares(self, silence: Silence, now: float) -> list[VoterId]:
        """Get the processes that could become voters."""
        return sorted(
            voter
            for voter, heard_at in self.heard.items()
            if now - heard_at < _HEARD_SECONDS and voter not in silence
        )

    def _is_superseded(self, voter: VoterId, alive_at: float) -> bool:
        # Silence counts from the start of a term at most, and from joining,
        # so that no report from before either makes a voter gone.
        process = get_process(voter)
        alive_at = max(alive_at, self.heard.get(voter, alive_at))
        return any(
            heard_at > alive_at
            for other, heard_at in self.heard.items()
            if other != voter and get_process(other) == process
        )

    def _is_kept(self, voter: VoterId, fed: Silence, now: float) -> bool:
        unheard = now - self.heard.get(voter, 0)
        return max(unheard, fed[voter]) < _SILENT_SECONDS

    def _plan_removal(
        self,
        own: VoterId,
        silence: Silence,
        lost: list[VoterId],
    ) -> VoterChange | None:
        if lost:
            return RemoveVoter(lost[0])
        if max(silence.values()) > _HEARD_SECONDS:
            # It may be the one to be replaced.
            return None
        counts = self._count_zones(silence)
        others = sorted(voter for voter in silence if voter != own)
        return RemoveVoter(
            max(others, key=lambda voter: counts[self._get_zone(voter)]),
        )

    def _get_evening(
        self,
        spares: list[VoterId],
        silence: Silence,
    ) -> list[VoterId]:
        """Get the spares that spread the voters better over zones."""
        is_known = all(voter in self.zones for voter in silence)
        if not is_known or max(silence.values()) > _HEARD_SECONDS:
            return []
        counts = self._count_zones(silence)
        most = max(counts.values()) - _UNEVEN_VOTERS
        return [
            spare for spare in spares if counts[self._get_zone(spare)] <= most
        ]

    def _sort_spares(
        self,
        spares: list[VoterId],
        silence: Silence,
    ) -> list[VoterId]:
        counts = self._count_zones(silence)
        return sorted(
            spares,
            key=lambda voter: (
                self.failed.get(voter, 0),
                counts[self._get_zone(voter)],
                voter,
            ),
        )

    def _count_zones(self, silence: Silence) -> 'Counter[ZoneName]':
        return Counter(
            self._get_zone(voter)
            for voter, seconds in silence.items()
            if seconds <= _SILENT_SECONDS
        )

    def _get_zone(self, voter: VoterId) -> ZoneName:
        return self.zones.get(voter, ZoneName(''))


def _sort_silent(silence: Silence, voters: list[VoterId]) -> list[VoterId]:
    return sorted(voters, key=lambda voter: -silence[voter])
