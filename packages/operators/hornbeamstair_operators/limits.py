"""Limits that follow from a contract alone."""

from math import ceil
from typing import Final

from attrs import frozen

from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_operators.messages import Contract, ServicePromise, Urgency

__all__ = ('LimitLine', 'ServiceLimits', 'derive_limits', 'explain_contract')

_RETRY_HEADROOM: Final = 10
_MAX_RETRY_SHARE: Final = 0.2
_MINUTES_PER_DAY: Final = 1440


@frozen
class ServiceLimits:
    """Limits on one customer's calls to one service."""

    customer: CustomerId
    service: ServiceName
    urgency: Urgency
    idempotent: bool
    weight: int
    max_concurrency: int
    rate: float
    rate_depth: float
    max_queued: int
    start_within: float
    retry_rate: float


@frozen
class LimitLine:
    """Derived limit with its figure and the reason for it."""

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


def explain_contract(contract: Contract) -> tuple[LimitLine, ...]:
    """Explain each limit that follows from a contract."""
    lines = [_explain_budget(contract)]
    for promise in contract.services:
        limits = _derive_service_limits(contract, promise)
        lines.extend(_explain_service(contract, promise, limits))
    return tuple(lines)


def _derive_service_limits(
    contract: Contract,
    promise: ServicePromise,
) -> ServiceLimits:
    burst_calls = promise.rate * promise.burst_multiple
    retry_share = min(
        _RETRY_HEADROOM * (1 - contract.availability),
        _MAX_RETRY_SHARE,
    )
    return ServiceLimits(
        customer=contract.customer,
        service=promise.service,
        urgency=promise.urgency,
        idempotent=promise.idempotent,
        weight=promise.concurrency,
        max_concurrency=ceil(promise.concurrency * promise.burst_multiple),
        rate=promise.rate,
        rate_depth=promise.rate
        + (burst_calls - promise.rate) * promise.burst_seconds,
        max_queued=ceil(burst_calls * promise.start_within),
        start_within=promise.start_within,
        retry_rate=promise.rate * retry_share,
    )


def _explain_budget(contract: Contract) -> LimitLine:
    window_minutes = contract.window_days * _MINUTES_PER_DAY
    return LimitLine(
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
) -> list[LimitLine]:
    service = promise.service
    multiple = f'burst multiple {promise.burst_multiple:g}'
    return [
        LimitLine(
            service,
            'calls at once',
            limits.max_concurrency,
            'calls',
            f'promised concurrency {promise.concurrency} x {multiple}',
        ),
        LimitLine(
            service,
            'sustained rate',
            limits.rate,
            'calls/s',
            'promised rate',
        ),
        LimitLine(
            service,
            'burst allowance',
            limits.rate_depth,
            'calls',
            f'one second of rate + excess of {multiple} for '
            f'{promise.burst_seconds:g} s',
        ),
        LimitLine(
            service,
            'calls queued',
            limits.max_queued,
            'calls',
            f'arrivals at {multiple} within {promise.start_within:g} s',
        ),
        LimitLine(
            service,
            'start within',
            limits.start_within,
            's',
            f'urgency class {promise.urgency.value}',
        ),
        LimitLine(
            service,
            'retry budget',
            limits.retry_rate,
            'retries/s',
            f'rate x {_RETRY_HEADROOM} x (1 - availability '
            f'{contract.availability:g}), at most {_MAX_RETRY_SHARE:.0%}',
        ),
        LimitLine(
            service,
            'queue weight',
            limits.weight,
            'slots',
            'promised concurrency',
        ),
    ]
