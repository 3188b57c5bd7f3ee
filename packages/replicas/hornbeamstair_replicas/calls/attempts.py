"""Attempts at one call to the leader."""

from enum import Enum

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId

__all__ = ('AttemptResult', 'CallAttempts')


class AttemptResult(Enum):
    """Result of one attempt at a call."""

    # This process leads and handled the call itself.
    own = 'own'
    answered = 'answered'
    # No process is known to lead or to know the leader.
    no_leader = 'no_leader'
    # The process that was asked does not lead.
    not_leading = 'not_leading'
    # A probe was not answered by a leader, so the call was not sent.
    unreached = 'unreached'
    # The call was sent and had no answer.
    unanswered = 'unanswered'
    # The call was withdrawn before any byte of it was written.
    unwritten = 'unwritten'
    # There is no connection to the process that was asked.
    unconnected = 'unconnected'


@define(eq=False)
class CallAttempts:
    """Attempts at one call and the time spent on each result."""

    # Monotonic time of the start of the call or the end of its last attempt.
    last_ended_at: float
    attempts: int = 0
    last_target: VoterId = VoterId('')
    # An attempt without a clear outcome may have been carried out.
    may_have_run: bool = False
    seconds: dict[AttemptResult, float] = field(factory=dict)

    def add(
        self,
        attempt: AttemptResult,
        target: VoterId,
        now: float,
    ) -> None:
        """Add an attempt that ended now; its time includes the pause before."""
        self.attempts += 1
        self.last_target = target
        spent = now - self.last_ended_at
        self.seconds[attempt] = self.seconds.get(attempt, 0) + spent
        self.last_ended_at = now
