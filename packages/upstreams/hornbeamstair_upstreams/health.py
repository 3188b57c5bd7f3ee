"""Outlier ejection of upstreams."""

from collections.abc import Sequence
from statistics import median
from typing import Final

from attrs import define

from hornbeamstair_core.units import MINUTE

__all__ = ('UpstreamHealth', 'get_max_ejected', 'is_outlier')

_SMOOTHING_FACTOR: Final = 0.2
_MIN_ATTEMPTS: Final = 5
_MIN_FAILURE_SHARE: Final = 0.5
_MEDIAN_MULTIPLE: Final = 3
_MAX_EJECTED_SHARE: Final = 1 / 3
_FIRST_EJECTION_SECONDS: Final = 5.0
_MAX_EJECTION_SECONDS: Final = 5 * MINUTE


@define
class UpstreamHealth:
    """Recent failures and ejections of an upstream."""

    failure_share: float = 0
    attempts: int = 0
    ejections: int = 0
    ejected_until: float = 0

    def add_attempt(self, *, failed: bool) -> None:
        """Add an attempt to the exponential moving average of failures."""
        outcome = 1.0 if failed else 0
        self.failure_share += _SMOOTHING_FACTOR * (outcome - self.failure_share)
        self.attempts += 1

    def start_ejection(self, now: float) -> float:
        """Start an ejection, twice as long as the last; return its seconds."""
        seconds: float = min(
            _FIRST_EJECTION_SECONDS * 2**self.ejections,
            _MAX_EJECTION_SECONDS,
        )
        self.ejections += 1
        self.ejected_until = now + seconds
        return seconds

    def end_ejection(self) -> None:
        """Reset the failure statistics after an ejection."""
        self.failure_share = 0
        self.attempts = 0


def is_outlier(
    health: UpstreamHealth,
    members: Sequence[UpstreamHealth],
) -> bool:
    """Return whether an upstream fails far more often than the others."""
    if health.attempts < _MIN_ATTEMPTS:
        return False
    median_share = median(member.failure_share for member in members)
    return health.failure_share > max(
        _MIN_FAILURE_SHARE,
        _MEDIAN_MULTIPLE * median_share,
    )


def get_max_ejected(member_count: int) -> int:
    """Return how many upstreams of a service may be ejected at once."""
    return int(member_count * _MAX_EJECTED_SHARE)
