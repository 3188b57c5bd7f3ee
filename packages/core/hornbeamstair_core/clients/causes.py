"""Why a client is refused, and what it is told."""

from enum import Enum

from attrs import frozen

from hornbeamstair_core.clients.limits import ClientLimits
from hornbeamstair_core.failures import (
    Failure,
    PayloadTooLargeFailure,
    UnreadablePayloadFailure,
    register_failure,
)

__all__ = ('Cause', 'make_refusal')


class Cause(Enum):
    """Why a client is refused: the name of a limit, or malformed bytes."""

    lead = 'lead_bytes'
    head = 'head_bytes'
    trailer = 'trailer_bytes'
    body = 'body_bytes'
    unfinished = 'unfinished_bytes'
    pipelined = 'pipelined_requests'
    connections = 'connections'
    client = 'connections_per_client'
    head_time = 'head_seconds'
    body_time = 'body_seconds'
    unread_time = 'unread_seconds'
    malformed = 'malformed'


@register_failure
@frozen
class HeadTooLargeFailure(Failure):
    """Request with more bytes around its body than a limit."""

    number = 1006
    name = 'head_too_large'
    summary = 'The head or the trailers of the request exceed a limit.'
    http_status = 431

    limit: str


@register_failure
@frozen
class RequestTooSlowFailure(Failure):
    """Request whose next part did not come in time."""

    number = 1007
    name = 'request_too_slow'
    summary = 'The next part of the request did not come in time.'
    http_status = 408

    limit: str


@register_failure
@frozen
class ClientShareFailure(Failure):
    """Client that has its part of the connections."""

    number = 1008
    name = 'client_share'
    summary = 'This client has its part of the connections.'
    http_status = 429

    limit: str


@register_failure
@frozen
class ClientsFullFailure(Failure):
    """Process that holds as much for clients as it may."""

    number = 1009
    name = 'clients_full'
    summary = 'The process holds as much for its clients as it may.'
    http_status = 503

    limit: str


def make_refusal(cause: Cause, limits: ClientLimits) -> Failure:
    """Make the failure that a refused client is answered with."""
    match cause:
        case Cause.lead | Cause.head | Cause.trailer:
            return HeadTooLargeFailure(cause.value)
        case Cause.body:
            return PayloadTooLargeFailure(limits.body_bytes)
        case Cause.head_time | Cause.body_time | Cause.unread_time:
            return RequestTooSlowFailure(cause.value)
        case Cause.client | Cause.pipelined:
            return ClientShareFailure(cause.value)
        case Cause.malformed:
            return UnreadablePayloadFailure('Invalid HTTP request received.')
    return ClientsFullFailure(cause.value)
