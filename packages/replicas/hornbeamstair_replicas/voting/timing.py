"""Time spans of elections, in seconds."""

from typing import Final

from attrs import frozen

__all__ = ('Timing',)

_LEASE_SHARE: Final = 0.9


@frozen
class Timing:
    """Heartbeats and the bounds of the random election timeout."""

    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0

    @property
    def lease(self) -> float:
        """Time after a heartbeat in which no other leader is elected.

        It is shorter than the election timeout by the clock drift allowed.
        """
        return self.election_min * _LEASE_SHARE
