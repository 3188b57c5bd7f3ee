"""Retry policy for failed attempts."""

from enum import Enum
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_upstreams.messages import AttemptFailure

__all__ = ('RetryBudget', 'RetryDecision', 'RetryVerdict', 'decide_retry')

_BUDGET_SECONDS: Final = 10.0
_MAX_ATTEMPTS: Final = 3


class RetryVerdict(Enum):
    """Reason for allowing or denying a retry."""

    not_run = 'not_run'
    idempotent = 'idempotent'
    denied_may_have_run = 'denied_may_have_run'
    denied_budget = 'denied_budget'
    denied_attempts = 'denied_attempts'


@frozen
class RetryDecision:
    """Decision whether to retry, with its reason."""

    is_allowed: bool
    verdict: RetryVerdict


@define
class RetryBudget:
    """Token bucket that limits the retries of a contract."""

    rate: float
    updated_at: float
    tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.get_depth()

    def get_depth(self) -> float:
        """Return the capacity of the bucket in retries."""
        return max(1, self.rate * _BUDGET_SECONDS)

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        refill = (now - self.updated_at) * self.rate
        self.tokens = min(self.get_depth(), self.tokens + refill)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def decide_retry(
    failure: AttemptFailure,
    attempts: int,
    budget: RetryBudget,
    now: float,
    *,
    idempotent: bool,
) -> RetryDecision:
    """Allow a retry only if nothing ran or the call is idempotent."""
    if failure.may_have_run and not idempotent:
        return RetryDecision(
            is_allowed=False,
            verdict=RetryVerdict.denied_may_have_run,
        )
    if attempts >= _MAX_ATTEMPTS:
        return RetryDecision(
            is_allowed=False,
            verdict=RetryVerdict.denied_attempts,
        )
    if not budget.take(now):
        return RetryDecision(
            is_allowed=False,
            verdict=RetryVerdict.denied_budget,
        )
    verdict = RetryVerdict.not_run
    if failure.may_have_run:
        verdict = RetryVerdict.idempotent
    return RetryDecision(is_allowed=True, verdict=verdict)
