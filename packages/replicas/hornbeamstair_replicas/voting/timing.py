"""Heartbeat interval and election timeouts, in seconds."""

from typing import Final

from attrs import frozen

__all__ = ('Timing',)

# The rest of the election timeout allows for clock drift.
_LEASE_SHARE: Final = 0.9


@frozen
class Timing:
    """Heartbeat interval and bounds of the random election timeout."""

    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0

    @property
    def lease(self) -> float:
        """Seconds after a heartbeat in which no other leader is elected.

        Shorter than the election timeout by the allowed clock drift.
        """
        return self.election_min * _LEASE_SHARE
