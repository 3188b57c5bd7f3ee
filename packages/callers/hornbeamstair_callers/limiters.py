"""Admission limits of one customer and service."""

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_callers.failures import (
    OverConcurrencyFailure,
    OverRateFailure,
)
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_operators.limits import ServiceLimits
from hornbeamstair_upstreams.retries import RetryBudget

__all__ = ('AdmissionLimiter', 'make_limiter')


@define
class AdmissionLimiter:
    """Limiter of concurrency and rate, with a token bucket for the rate."""

    limits: ServiceLimits
    retry_budget: RetryBudget
    tokens: float
    updated_at: float
    admitted: int = 0

    def replace_limits(self, limits: ServiceLimits) -> None:
        """Replace the limits and keep the current usage."""
        self.limits = limits
        self.retry_budget.rate = limits.retry_rate
        self.tokens = min(self.tokens, limits.bucket_depth)

    def admit(self, now: float) -> Result[None, Failure]:
        """Admit a call, or refuse it with the limit that it exceeds."""
        self._refill(now)
        limits = self.limits
        if self.admitted >= limits.max_concurrency:
            return Error(OverConcurrencyFailure(limits.max_concurrency))
        if self.tokens < 1:
            wait = (1 - self.tokens) / limits.rate
            return Error(OverRateFailure(limits.rate, round(wait, 3)))
        self.tokens -= 1
        self.admitted += 1
        return Ok(None)

    def release(self) -> None:
        """Release an admitted call."""
        self.admitted -= 1
        check_invariant(
            self.admitted >= 0,
            'calls admitted are never negative',
            f'{self.limits.customer}/{self.limits.service}',
        )

    def _refill(self, now: float) -> None:
        refilled = (now - self.updated_at) * self.limits.rate
        depth = max(1, self.limits.bucket_depth)
        self.tokens = min(depth, self.tokens + refilled)
        self.updated_at = now


def make_limiter(limits: ServiceLimits, now: float) -> AdmissionLimiter:
    """Make a limiter with a full token bucket."""
    return AdmissionLimiter(
        limits=limits,
        retry_budget=RetryBudget(limits.retry_rate, now),
        tokens=max(1, limits.bucket_depth),
        updated_at=now,
    )
