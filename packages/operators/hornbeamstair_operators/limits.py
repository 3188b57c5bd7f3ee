"""Derivation of call limits from a contract."""

from math import ceil
from typing import Final

from attrs import frozen

from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_operators.messages import Contract, ServicePromise, Urgency

__all__ = (
    'LimitExplanation',
    'ServiceLimits',
    'derive_limits',
    'explain_contract',
)

# Retries may be this multiple of the failures that the contract allows.
_RETRY_BUDGET_FACTOR: Final = 10
_MAX_RETRY_RATIO: Final = 0.2
_MINUTES_PER_DAY: Final = 1440


@frozen
class ServiceLimits:
    """Limits on one customer's calls to one service.

    `rate` is in calls a second, `retry_rate` in retries a second and
    `start_within` in seconds.
    """

    customer: CustomerId
    service: ServiceName
    urgency: Urgency
    idempotent: bool
    weight: int
    max_concurrency: int
    rate: float
    bucket_depth: float
    max_queued: int
    start_within: float
    retry_rate: float


@frozen
class LimitExplanation:
    """Derived limit with its value, its unit and how it was derived."""

    service: str
    limit: str
    figure: float
    unit: str
    reason: str


def derive_limits(contract: Contract) -> tuple[ServiceLimits, ...]:
    """Derive the limits for each service of a contract."""
    return tuple(
        _derive_service_limits(contract, promise)
        for promise in contract.services
    )


def explain_contract(contract: Contract) -> tuple[LimitExplanation, ...]:
    """Explain how each limit of a contract is derived."""
    explanations = [_explain_budget(contract)]
    for promise in contract.services:
        limits = _derive_service_limits(contract, promise)
        explanations.extend(_explain_service(contract, promise, limits))
    return tuple(explanations)


def _derive_service_limits(
    contract: Contract,
    promise: ServicePromise,
) -> ServiceLimits:
    burst_rate = promise.rate * promise.burst_multiple
    retry_ratio = min(
        _RETRY_BUDGET_FACTOR * (1 - contract.availability),
        _MAX_RETRY_RATIO,
    )
    return ServiceLimits(
        customer=contract.customer,
        service=promise.service,
        urgency=promise.urgency,
        idempotent=promise.idempotent,
        weight=promise.concurrency,
        max_concurrency=ceil(promise.concurrency * promise.burst_multiple),
        rate=promise.rate,
        bucket_depth=promise.rate
        + (burst_rate - promise.rate) * promise.burst_seconds,
        max_queued=ceil(burst_rate * promise.start_within),
        start_within=promise.start_within,
        retry_rate=promise.rate * retry_ratio,
    )


def _explain_budget(contract: Contract) -> LimitExplanation:
    window_minutes = contract.window_days * _MINUTES_PER_DAY
    return LimitExplanation(
        service='*',
        limit='unavailability budget',
        figure=(1 - contract.availability) * window_minutes,
        unit='min',
        reason=(
            f'1 - availability {contract.availability:g} over '
            f'{contract.window_days} days; planned work may spend '
            f'{contract.planned_share:.0%} of it'
        ),
    )


def _explain_service(
    contract: Contract,
    promise: ServicePromise,
    limits: ServiceLimits,
) -> list[LimitExplanation]:
    service = promise.service
    multiple = f'burst multiple {promise.burst_multiple:g}'
    return [
        LimitExplanation(
            service,
            'calls at once',
            limits.max_concurrency,
            'calls',
            f'promised concurrency {promise.concurrency} x {multiple}',
        ),
        LimitExplanation(
            service,
            'sustained rate',
            limits.rate,
            'calls/s',
            'promised rate',
        ),
        LimitExplanation(
            service,
            'burst allowance',
            limits.bucket_depth,
            'calls',
            f'one second of rate + excess of {multiple} for '
            f'{promise.burst_seconds:g} s',
        ),
        LimitExplanation(
            service,
            'calls queued',
            limits.max_queued,
            'calls',
            f'arrivals at {multiple} within {promise.start_within:g} s',
        ),
        LimitExplanation(
            service,
            'start within',
            limits.start_within,
            's',
            f'urgency class {promise.urgency.value}',
        ),
        LimitExplanation(
            service,
            'retry budget',
            limits.retry_rate,
            'retries/s',
            f'rate x {_RETRY_BUDGET_FACTOR} x (1 - availability '
            f'{contract.availability:g}), at most {_MAX_RETRY_RATIO:.0%}',
        ),
        LimitExplanation(
            service,
            'queue weight',
            limits.weight,
            'slots',
            'promised concurrency',
        ),
    ]
