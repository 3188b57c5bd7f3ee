"""What a call to the leader waited for."""

from enum import Enum

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId

__all__ = ('CallStep', 'CallTrail')


class CallStep(Enum):
    """What became of one attempt at a call."""

    # This process leads and handled the call itself.
    own = 'own'
    answered = 'answered'
    # No process is known to lead or to know the leader.
    no_leader = 'no_leader'
    # The process that was asked does not lead.
    not_leading = 'not_leading'
    # A question whether the process leads had no answer; the call waits.
    unreached = 'unreached'
    # The call was sent and had no answer.
    unanswered = 'unanswered'
    # There is no connection to the process that was asked.
    unconnected = 'unconnected'


@define(eq=False)
class CallTrail:
    """Attempts at one call and the time that each kind of them took."""

    # Steady time at which the call began, or its last attempt ended.
    noted_at: float
    attempts: int = 0
    last_target: VoterId = VoterId('')
    seconds: dict[CallStep, float] = field(factory=dict)

    def note(self, step: CallStep, target: VoterId, now: float) -> None:
        """Note the end of an attempt; the pause before it counts as well."""
        self.attempts += 1
        self.last_target = target
        spent = now - self.noted_at
        self.seconds[step] = self.seconds.get(step, 0) + spent
        self.noted_at = now
