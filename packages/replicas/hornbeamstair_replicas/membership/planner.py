"""Decision which process becomes a voter and which ceases to be one."""

from abc import ABC
from collections import Counter
from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.voter_ids import get_process

__all__ = (
    'AbandonJoining',
    'AddVoter',
    'MembershipPlanner',
    'RemoveVoter',
    'VoterChange',
)

# Reports come twice a second.
_HEARD_SECONDS: Final = 1.6
# Longer than a restart of a process, so that a short stop changes nothing.
_SILENT_SECONDS: Final = 4.0
_JOIN_SECONDS: Final = 4.0
_FEW_VOTERS: Final = 3
_MANY_VOTERS: Final = 5


@frozen
class VoterChange(ABC):
    """Change of the voters of a group."""

    voter: VoterId


@frozen
class AddVoter(VoterChange):
    """Bring a process up to date and let it vote."""


@frozen
class RemoveVoter(VoterChange):
    """Take the vote of a process that is gone."""


@frozen
class AbandonJoining(VoterChange):
    """Give up a process that does not come up to date."""


@define(eq=False)
class MembershipPlanner:
    """Plan one change at a time towards voters that are alive.

    An odd number of voters is wanted: three, or five once that many
    processes can vote. A process on a wiped disk has a new identity; its
    former identity is removed after the new one votes.
    """

    heard: dict[VoterId, float] = field(factory=dict)
    zones: dict[VoterId, ZoneName] = field(factory=dict)
    joining_since: float = 0

    def note_report(
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
        silence: Mapping[VoterId, float],
        joining: VoterId | None,
        now: float,
    ) -> VoterChange | None:
        """Plan the next change from each voter's seconds of silence."""
        if joining is not None:
            is_late = now - self.joining_since > _JOIN_SECONDS
            return AbandonJoining(joining) if is_late else None
        lost = self.get_lost(silence)
        spares = self.get_spares(silence, now)
        wanted = _FEW_VOTERS
        if len(silence) - len(lost) + len(spares) >= _MANY_VOTERS:
            wanted = _MANY_VOTERS
        if spares and len(silence) - len(lost) < wanted:
            if len(silence) <= wanted:
                self.joining_since = now
                return AddVoter(self._choose_spare(spares, silence))
        if lost and len(silence) > wanted:
            return RemoveVoter(lost[0])
        return None

    def get_lost(self, silence: Mapping[VoterId, float]) -> list[VoterId]:
        """Get the voters taken for lost, the longest silent first."""
        newest = {
            get_process(voter): voter
            for voter in sorted(self.heard, key=self._get_heard)
        }
        lost = [
            voter
            for voter, seconds in silence.items()
            if seconds > _SILENT_SECONDS
            or newest.get(get_process(voter), voter) != voter
        ]
        return sorted(lost, key=lambda voter: -silence[voter])

    def get_spares(
        self,
        silence: Mapping[VoterId, float],
        now: float,
    ) -> list[VoterId]:
        """Get the processes that could become voters."""
        return sorted(
            voter
            for voter, heard_at in self.heard.items()
            if now - heard_at < _HEARD_SECONDS and voter not in silence
        )

    def _choose_spare(
        self,
        spares: list[VoterId],
        silence: Mapping[VoterId, float],
    ) -> VoterId:
        alive = Counter(
            self.zones.get(voter, ZoneName(''))
            for voter, seconds in silence.items()
            if seconds <= _SILENT_SECONDS
        )
        return min(spares, key=lambda voter: (alive[self.zones[voter]], voter))

    def _get_heard(self, voter: VoterId) -> float:
        return self.heard[voter]
