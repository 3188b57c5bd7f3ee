"""Choice of the process that feeds a learner."""

from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.learning.members import Member

__all__ = ('FeedSource',)

_SILENT_SECONDS: Final = 2.0
_RETURN_SECONDS: Final = 30.0
_NEIGHBOUR_POLLS: Final = 4


@define(eq=False)
class FeedSource:
    """Tree by zone: one learner a zone asks across, the others ask it.

    Every few polls go to a neighbour in the zone instead, so that a zone
    that is cut off agrees on the newest version that any of it holds.
    """

    own: Member
    members: tuple[Member, ...]
    now: float
    position: int = 0
    polls: int = 0
    answered_at: float = field(init=False)
    moved_at: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the first source."""
        self.answered_at = self.now
        self.moved_at = self.now

    def choose(self, now: float) -> ProcessId | None:
        """Choose the process to ask now; None if there is no other."""
        self.polls += 1
        neighbours = self._get_neighbours()
        if neighbours and self.polls % _NEIGHBOUR_POLLS == 0:
            turn = self.polls // _NEIGHBOUR_POLLS
            return neighbours[turn % len(neighbours)].process
        sources = self.get_sources()
        if not sources:
            return None
        self._leave_silent(now)
        return sources[self.position % len(sources)].process

    def note_answer(self, process: ProcessId, now: float) -> None:
        """Note that a process answered."""
        sources = self.get_sources()
        if sources[self.position % len(sources)].process == process:
            self.answered_at = now

    def get_sources(self) -> list[Member]:
        """Get the sources in the order of preference."""
        others = [
            member
            for member in self.members
            if member.process != self.own.process
        ]
        return sorted(others, key=self._get_preference)

    def _leave_silent(self, now: float) -> None:
        if now - self.answered_at >= _SILENT_SECONDS:
            self.position += 1
            self.answered_at = now
            self.moved_at = now
        elif self.position and now - self.moved_at >= _RETURN_SECONDS:
            self.position = 0
            self.moved_at = now

    def _get_neighbours(self) -> list[Member]:
        return [
            member
            for member in self.get_sources()
            if member.zone == self.own.zone
        ]

    def _get_preference(self, member: Member) -> tuple[int, str]:
        is_near = member.zone == self.own.zone
        if member.is_voter:
            return (0 if is_near else 2), member.process
        if is_near and member.process < self.own.process:
            return 1, member.process
        return (3 if is_near else 4), member.process
