"""Result codes of callers' requests."""

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
    """Call of a customer without a contract."""

    number = 2001
    name = 'unknown_customer'
    summary = 'The customer has no contract; the call was not run.'
    http_status = 403

    customer: str


@register_failure
@frozen
class UnknownServiceFailure(Failure):
    """Call to a service that the contract does not promise."""

    number = 2002
    name = 'unknown_service'
    summary = 'The contract names no such service; the call was not run.'
    http_status = 404

    customer: str
    service: str


@register_failure
@frozen
class OverConcurrencyFailure(Failure):
    """Call beyond the calls at once that follow from the contract."""

    number = 2003
    name = 'over_concurrency'
    summary = 'Too many calls at once for the contract; not run.'
    http_status = 429

    limit: int


@register_failure
@frozen
class OverRateFailure(Failure):
    """Call beyond the rate and burst that follow from the contract."""

    number = 2004
    name = 'over_rate'
    summary = 'Too many calls a second for the contract; not run.'
    http_status = 429

    rate: float
    retry_after_seconds: float


@register_failure
@frozen
class QueueFullFailure(Failure):
    """Call that finds its queue full."""

    number = 2005
    name = 'queue_full'
    summary = 'The queue of the customer is full; the call was not run.'
    http_status = 503

    limit: int


@register_failure
@frozen
class StartTimeoutFailure(Failure):
    """Call that could not start in time."""

    number = 2006
    name = 'start_timeout'
    summary = 'The call could not start in time and was not run.'
    http_status = 503

    start_within_seconds: float


@register_failure
@frozen
class NoUpstreamFailure(Failure):
    """Call to a service without an upstream."""

    number = 2007
    name = 'no_upstream'
    summary = 'The service has no upstream; the call was not run.'
    http_status = 503

    service: str


@register_failure
@frozen
class CallerGoneFailure(Failure):
    """Call whose caller hung up before it started."""

    number = 2008
    name = 'caller_gone'
    summary = 'The caller hung up before the call started; not run.'
    http_status = 499


@register_failure
@frozen
class KeyReusedFailure(Failure):
    """Idempotency key that was used with another request."""

    number = 2009
    name = 'key_reused'
    summary = 'The idempotency key was used for another request; not run.'
    http_status = 422


@register_failure
@frozen
class KeyInProgressFailure(Failure):
    """Resend of a call that still runs."""

    number = 2010
    name = 'key_in_progress'
    summary = 'The first call with this idempotency key still runs.'
    http_status = 409
    may_have_run = True


@register_failure
@frozen
class KeyOutcomeUnknownFailure(Failure):
    """Resend of a call whose outcome was lost."""

    number = 2011
    name = 'key_outcome_unknown'
    summary = 'The outcome of the first call with this key is unknown.'
    http_status = 409
    may_have_run = True


@register_failure
@frozen
class KeyNotClaimedFailure(Failure):
    """Keyed call that was not sent because its claim was not confirmed."""

    number = 2013
    name = 'key_not_claimed'
    summary = 'The key could not be claimed; the call was not run.'
    http_status = 503

    reason: str


@register_failure
@frozen
class AnswerNotKeptFailure(Failure):
    """Resend of a call whose answer was too large to keep."""

    number = 2012
    name = 'answer_not_kept'
    summary = 'The call ran once; its answer was too large to keep.'
    http_status = 409
    may_have_run = True
