"""Leases under which workers run tasks."""

from typing import Final

from attrs import define, frozen

from hornbeamstair_upstreams.work.clocks import WorkerClock

__all__ = ('LeaseTerms', 'WorkerLease', 'get_lease_terms')

# Long enough that polls renew the lease in time even if one poll is lost;
# the remainder covers a change of leader.
_LEASE_SECONDS: Final = 3.5
_LEASE_SHARE: Final = 0.8
_WAIT_SECONDS: Final = 0.8
# Minimum rate of a worker's clock relative to the local one; the margin covers
# the duration of a poll.
_MIN_CLOCK_RATE: Final = 0.98
_MARGIN_SECONDS: Final = 0.5
# A start renews the lease once less than this share of it remains.
_RENEWAL_SHARE: Final = 0.5
# Allowance for timers that fire late, on either side.
_EXPIRY_MARGIN_SECONDS: Final = 0.25


@frozen
class LeaseTerms:
    """Durations that govern the leases of runs, in seconds."""

    # Duration of the lease that an order grants.
    lease: float
    # Time after which every lease of a previous leader has certainly expired.
    expiry_delay: float
    # Time that the worker holds a poll open while no run ends.
    wait: float
    # Maximum time until a run that is being stopped is listed as ended.
    stopping: float

    def make_lease(self, latest_expiry: float) -> 'WorkerLease':
        """Make the lease of a worker whose earlier leases expire by a time."""
        return WorkerLease(self, latest_expiry)


@define(eq=False)
class WorkerLease:
    """Lease of all runs of one worker, on the worker's own clock."""

    terms: LeaseTerms
    # Time by which every lease granted so far has certainly expired.
    latest_expiry: float
    clock: WorkerClock | None = None
    # End of the granted lease on the worker's clock.
    end: float | None = None
    # Time of the last order that carried a lease end.
    sent_at: float = 0

    def grant(self, now: float) -> float | None:
        """Grant a lease; return its end on the worker's clock."""
        if self.clock is None:
            return None
        self.sent_at = now
        self.end = self.clock.get_lowest_reading(now) + self.terms.lease
        expiry = (
            self.clock.get_latest_local_time(self.end) + _EXPIRY_MARGIN_SECONDS
        )
        self.latest_expiry = max(self.latest_expiry, expiry)
        return self.end

    def grant_with_start(self, now: float) -> float | None:
        """Return the lease end for a start order.

        Polls renew the lease. Renewing it with every start would postpone
        the expiry of the runs of an unresponsive worker.
        """
        if self.clock is None or self.end is None:
            return self.grant(now)
        self.sent_at = now
        remaining = self.end - self.clock.get_lowest_reading(now)
        if remaining < self.terms.lease * _RENEWAL_SHARE:
            return self.grant(now)
        return self.end

    def update_clock(self, clock: float, now: float) -> None:
        """Update the estimate of the worker's clock from an answer."""
        if self.clock is None:
            self.clock = WorkerClock(clock, now)
        else:
            self.clock.update(clock, now)

    def start_incarnation(self, latest_expiry: float) -> None:
        """Reset the clock and the lease for a new incarnation."""
        self.clock = None
        self.end = None
        self.latest_expiry = latest_expiry


def get_lease_terms(max_lease: float, max_stop: float) -> LeaseTerms:
    """Derive the durations from the longest lease and the longest stop."""
    return LeaseTerms(
        lease=min(_LEASE_SECONDS, max_lease * _LEASE_SHARE),
        expiry_delay=max_lease / _MIN_CLOCK_RATE + _MARGIN_SECONDS,
        wait=_WAIT_SECONDS,
        stopping=max_stop / _MIN_CLOCK_RATE + _MARGIN_SECONDS,
    )
