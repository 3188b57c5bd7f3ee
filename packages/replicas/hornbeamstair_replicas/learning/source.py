"""Choice of the process that feeds a learner."""

from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.learning.members import Member

__all__ = ('FeedSource',)

_ANSWER_TIMEOUT_SECONDS: Final = 2.0
_RETURN_TO_PREFERRED_SECONDS: Final = 30.0
_POLLS_PER_ZONE_POLL: Final = 4


@define(eq=False)
class FeedSource:
    """Ordered sources of a learner, which form a tree by zone.

    Learners prefer a voter of their zone. In a zone without a voter, one
    learner polls voters of other zones and the other learners poll it.
    Every few polls go to another process of the zone instead, so that the
    processes of a partitioned zone converge on the newest state among them.
    """

    own: Member
    members: tuple[Member, ...]
    now: float
    source_index: int = 0
    poll_count: int = 0
    answered_at: float = field(init=False)
    switched_at: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the preferred source."""
        self.answered_at = self.now
        self.switched_at = self.now

    def choose(self, now: float) -> ProcessId | None:
        """Choose the process to poll next; None if there is no other."""
        self.poll_count += 1
        zone_members = self._get_zone_members()
        if zone_members and self.poll_count % _POLLS_PER_ZONE_POLL == 0:
            zone_poll = self.poll_count // _POLLS_PER_ZONE_POLL
            return zone_members[zone_poll % len(zone_members)].process
        sources = self.get_sources()
        if not sources:
            return None
        self._update_source(now)
        return sources[self.source_index % len(sources)].process

    def handle_answer(self, process: ProcessId, now: float) -> None:
        """Handle an answer of a process."""
        sources = self.get_sources()
        if sources[self.source_index % len(sources)].process == process:
            self.answered_at = now

    def get_sources(self) -> list[Member]:
        """Get the other processes in order of preference."""
        others = [
            member
            for member in self.members
            if member.process != self.own.process
        ]
        return sorted(others, key=self._get_preference)

    def _update_source(self, now: float) -> None:
        if now - self.answered_at >= _ANSWER_TIMEOUT_SECONDS:
            self.source_index += 1
            self.answered_at = now
            self.switched_at = now
        elif (
            self.source_index
            and now - self.switched_at >= _RETURN_TO_PREFERRED_SECONDS
        ):
            self.source_index = 0
            self.switched_at = now

    def _get_zone_members(self) -> list[Member]:
        return [
            member
            for member in self.get_sources()
            if member.zone == self.own.zone
        ]

    def _get_preference(self, member: Member) -> tuple[int, str]:
        is_same_zone = member.zone == self.own.zone
        if member.is_voter:
            return (0 if is_same_zone else 2), member.process
        if is_same_zone and member.process < self.own.process:
            return 1, member.process
        return (3 if is_same_zone else 4), member.process
