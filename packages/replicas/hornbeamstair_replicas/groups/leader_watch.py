"""Event log of the leader of a group as one process sees it."""

from typing import Final

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_replicas.events import (
    LeaderChangedEvent,
    LeaderUnknownEvent,
)
from hornbeamstair_replicas.messages import VoterId

__all__ = ('LeaderWatch',)

# A log that keeps only its last lines still shows a long time without a leader.
_REPORT_SECONDS: Final = 5.0


@define(eq=False)
class LeaderWatch:
    """Logs changes of the leader, and again while none is known."""

    group: str
    leader: VoterId = field(default=VoterId(''), init=False)
    # Time since which no leader is known, or the known one is silent.
    unknown_since: float | None = field(default=None, init=False)
    reported_at: float = field(default=0, init=False)

    def update(
        self,
        leader: VoterId,
        term: int,
        now: float,
        *,
        is_silent: bool,
    ) -> None:
        """Log a change of the leader, or that none has been heard for long."""
        if leader != self.leader:
            self.leader = leader
            log_event(LeaderChangedEvent(self.group, leader, term))
        if leader and not is_silent:
            self.unknown_since = None
        elif self.unknown_since is None:
            self.unknown_since = now
            self.reported_at = now
        elif now - self.reported_at >= _REPORT_SECONDS:
            self.reported_at = now
            unknown_seconds = now - self.unknown_since
            log_event(
                LeaderUnknownEvent(
                    self.group, term, to_milliseconds(unknown_seconds)
                ),
            )
