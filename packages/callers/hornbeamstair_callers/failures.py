"""Failures of calls."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = (
    'AnswerNotKeptFailure',
    'CallerGoneFailure',
    'KeyInProgressFailure',
    'KeyNotClaimedFailure',
    'KeyOutcomeUnknownFailure',
    'KeyReusedFailure',
    'NoUpstreamFailure',
    'OverConcurrencyFailure',
    'OverRateFailure',
    'QueueFullFailure',
    'StartTimeoutFailure',
    'UnknownCustomerFailure',
    'UnknownServiceFailure',
)


@register_failure
@frozen
class UnknownCustomerFailure(Failure):
    """The customer has no contract."""

    number = 2001
    name = 'unknown_customer'
    summary = 'The customer has no contract; the call was not run.'
    http_status = 403

    customer: str


@register_failure
@frozen
class UnknownServiceFailure(Failure):
    """The contract of the customer does not include the service."""

    number = 2002
    name = 'unknown_service'
    summary = 'The contract does not include the service; not run.'
    http_status = 404

    customer: str
    service: str


@register_failure
@frozen
class OverConcurrencyFailure(Failure):
    """The call exceeds the concurrency limit of the contract."""

    number = 2003
    name = 'over_concurrency'
    summary = "The contract's concurrency limit is exceeded; not run."
    http_status = 429

    limit: int


@register_failure
@frozen
class OverRateFailure(Failure):
    """The call exceeds the rate and burst limits of the contract."""

    number = 2004
    name = 'over_rate'
    summary = "The contract's rate limit is exceeded; not run."
    http_status = 429

    rate: float
    retry_after_seconds: float


@register_failure
@frozen
class QueueFullFailure(Failure):
    """The queue of the call is full."""

    number = 2005
    name = 'queue_full'
    summary = 'The queue of the customer is full; the call was not run.'
    http_status = 503

    limit: int


@register_failure
@frozen
class StartTimeoutFailure(Failure):
    """The call could not start before its deadline."""

    number = 2006
    name = 'start_timeout'
    summary = 'The call could not start in time and was not run.'
    http_status = 503

    start_within_seconds: float


@register_failure
@frozen
class NoUpstreamFailure(Failure):
    """The service has no upstream."""

    number = 2007
    name = 'no_upstream'
    summary = 'The service has no upstream; the call was not run.'
    http_status = 503

    service: str


@register_failure
@frozen
class CallerGoneFailure(Failure):
    """The caller disconnected before the call started."""

    number = 2008
    name = 'caller_gone'
    summary = 'The caller disconnected before the call started; not run.'
    http_status = 499


@register_failure
@frozen
class KeyReusedFailure(Failure):
    """The idempotency key was used for a different request."""

    number = 2009
    name = 'key_reused'
    summary = 'The idempotency key was used for another request; not run.'
    http_status = 422


@register_failure
@frozen
class KeyInProgressFailure(Failure):
    """The first call with the idempotency key is still running."""

    number = 2010
    name = 'key_in_progress'
    summary = 'The first call with this idempotency key is still running.'
    http_status = 409
    may_have_run = True


@register_failure
@frozen
class KeyOutcomeUnknownFailure(Failure):
    """The outcome of the first call with the idempotency key was lost."""

    number = 2011
    name = 'key_outcome_unknown'
    summary = 'The outcome of the first call with this key is unknown.'
    http_status = 409
    may_have_run = True


@register_failure
@frozen
class KeyNotClaimedFailure(Failure):
    """The call was not sent, since its key could not be claimed."""

    number = 2013
    name = 'key_not_claimed'
    summary = 'The key could not be claimed; the call was not run.'
    http_status = 503

    reason: str


@register_failure
@frozen
class AnswerNotKeptFailure(Failure):
    """The first call with the key ran; its answer was too large to store."""

    number = 2012
    name = 'answer_not_kept'
    summary = 'The call ran once; its answer was too large to store.'
    http_status = 409
    may_have_run = True
