"""Times of the leases under which workers run tasks."""

from typing import Final

from attrs import frozen

__all__ = ('LeaseTerms', 'get_lease_terms')

# A look that waits less than the lease renews it in time, also when one
# look is lost; the rest covers the change of the holder.
_LEASE_SECONDS: Final = 3.5
_LEASE_SHARE: Final = 0.8
_WAIT_SECONDS: Final = 0.8
# Clocks of workers may run so much slower, and looks take some time.
_SLOW_SHARE: Final = 0.98
_MARGIN_SECONDS: Final = 0.5


@frozen
class LeaseTerms:
    """Times of the leases of runs, in seconds."""

    # Lease that each order gives.
    lease: float
    # Time after which every lease of an earlier holder has surely lapsed.
    longest: float
    # Time that a look waits for an end.
    wait: float
    # Time in which a run that is being stopped is surely listed as ended.
    stopping: float


def get_lease_terms(longest: float, stop: float) -> LeaseTerms:
    """Get the terms from the longest lease and the longest stop."""
    return LeaseTerms(
        lease=min(_LEASE_SECONDS, longest * _LEASE_SHARE),
        longest=longest / _SLOW_SHARE + _MARGIN_SECONDS,
        wait=_WAIT_SECONDS,
        stopping=stop / _SLOW_SHARE + _MARGIN_SECONDS,
    )
