"""CBOR codec of the requests to the leader, its replies and failures."""

from collections.abc import Iterable
from typing import Any, Final

from cattrs import BaseValidationError
from cattrs.preconf.cbor2 import make_converter
from expression import Error, Ok, Result

from hornbeamstair_core.codec import (
    decode_cbor,
    encode_cbor,
    make_union_converter,
)
from hornbeamstair_core.failures import (
    Failure,
    InternalFailure,
    UnreadablePayloadFailure,
    find_failure,
)
from hornbeamstair_core.requests import Reply, Request

__all__ = ('RequestCodec',)

_DECODE_ERRORS: Final = (BaseValidationError, KeyError, TypeError, ValueError)
_NUMBER_KEY: Final = 'failure'


class RequestCodec:
    """CBOR codec of the requests and replies of a set of handlers."""

    def __init__(
        self,
        requests: Iterable[type[Request]],
        replies: Iterable[type[Reply]],
    ) -> None:
        """Build converters for the given request and reply classes."""
        self.requests = make_union_converter(Request, tuple(requests))
        self.replies = make_union_converter(Reply, tuple(set(replies)))
        self.failures = make_converter()

    def encode_request(self, request: Request) -> bytes:
        """Encode a request."""
        return encode_cbor(self.requests.unstructure(request, Request))

    def decode_request(self, payload: bytes) -> Result[Request, Failure]:
        """Decode a request."""
        try:
            fields = decode_cbor(payload)
            return Ok(self.requests.structure(fields, Request))
        except _DECODE_ERRORS as error:
            return Error(UnreadablePayloadFailure(repr(error)))

    def encode_outcome(self, outcome: Result[Reply, Failure]) -> bytes:
        """Encode a reply or a failure."""
        if outcome.is_ok():
            return encode_cbor(self.replies.unstructure(outcome.ok, Reply))
        fields = self.failures.unstructure(outcome.error)
        return encode_cbor(
            {_NUMBER_KEY: outcome.error.number, 'fields': fields}
        )

    def decode_outcome(self, payload: bytes) -> Result[Reply, Failure]:
        """Decode a reply or a failure."""
        try:
            fields = decode_cbor(payload)
            if _NUMBER_KEY in fields:
                return Error(self._decode_failure(fields))
            return Ok(self.replies.structure(fields, Reply))
        except _DECODE_ERRORS as error:
            return Error(InternalFailure(f'unreadable reply: {error!r}'))

    def _decode_failure(self, fields: dict[str, Any]) -> Failure:
        failure_class = find_failure(fields[_NUMBER_KEY])
        if failure_class is None:
            return InternalFailure(f'unknown result code {fields[_NUMBER_KEY]}')
        return self.failures.structure(fields['fields'], failure_class)
