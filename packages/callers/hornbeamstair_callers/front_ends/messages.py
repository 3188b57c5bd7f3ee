"""Messages that HTTP requests carry in their body, query and headers."""

from typing import Any, Final, TypeVar

from cattrs import BaseValidationError
from expression import Error, Ok, Result
from starlette.requests import Request

from hornbeamstair_callers.jobs.requests import QueueAddress
from hornbeamstair_callers.workspaces.authentication import read_bearer_digest
from hornbeamstair_core.codec import json_converter
from hornbeamstair_core.failures import Failure, UnreadablePayloadFailure
from hornbeamstair_core.front_end import read_body
from hornbeamstair_core.units import MIB

__all__ = ('get_key_digest', 'get_queue_address', 'read_message')

_MAX_BODY_BYTES: Final = 8 * MIB
_DECODE_ERRORS: Final = (
    BaseValidationError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)

Message = TypeVar('Message')


async def read_message(
    request: Request,
    message_class: type[Message],
) -> Result[Message, Failure]:
    """Read a message from the JSON body of a request."""
    body = await read_body(request, _MAX_BODY_BYTES)
    return body.bind(lambda content: _decode(content, message_class))


def get_queue_address(request: Request) -> QueueAddress:
    """Get the address of a queue from the query of a request."""
    query = request.query_params
    return QueueAddress(
        query.get('host', ''),
        query.get('path', ''),
        get_key_digest(request),
    )


def get_key_digest(request: Request) -> str:
    """Get the digest of the key that a request carries."""
    return read_bearer_digest(request.headers.get('authorization', ''))


def _decode(body: bytes, message_class: Any) -> Result[Any, Failure]:
    try:
        return Ok(json_converter.loads(body, message_class))
    except _DECODE_ERRORS as error:
        return Error(UnreadablePayloadFailure(repr(error)))
