"""HTTP protocol of uvicorn within the limits of clients."""

import json
from asyncio import AbstractEventLoop
from http import HTTPStatus
from typing import Any, Final

from uvicorn import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from hornbeamstair_core.clients.causes import Cause, make_refusal
from hornbeamstair_core.clients.connection import ClientConnection, Phase
from hornbeamstair_core.clients.intake import Eviction
from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.codec import encode_failure
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.front_ends.guard import (
    ClientGuard,
    RefusableConnection,
)
from hornbeamstair_core.units import KIB

__all__ = ('BoundedHttpProtocol', 'REFUSAL')

# State of the ASGI scope under which the reader of a body finds the failure.
REFUSAL: Final = 'refusal'

# Bytes that are parsed before the limits are checked.
_PIECE_BYTES: Final = 16 * KIB  # noqa: WPS432
_RETRY_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class _TooManyRequestsError(Exception):
    """More requests at once than a connection may send."""


class BoundedHttpProtocol(HttpToolsProtocol, RefusableConnection):
    """Feeds the parser in pieces, and refuses what exceeds a limit.

    A refusal is answered only if the request has certainly not run: its head
    is not complete, or its handler reads the body and finds the failure.
    """

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: AbstractEventLoop | None = None,
        *,
        guard: ClientGuard,
    ) -> None:
        """Create the protocol of one connection."""
        super().__init__(config, server_state, app_state, _loop)
        self.guard = guard
        self.account = ClientConnection('', 0)
        # Whether the next request waits until the last answer is read.
        self.is_answer_unread = False

    def connection_made(self, transport: Any) -> None:
        """Account the connection."""
        super().connection_made(transport)
        client = self.client[0] if self.client else ''
        self.account = ClientConnection(client, get_monotonic_time())
        self.guard.open(self.account, self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection held."""
        super().connection_lost(exc)
        self.guard.close(self.account)
        self.pipeline.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes until they exceed a limit."""
        for start in range(0, len(data), _PIECE_BYTES):
            if self.account.refusal is not None or self.transport.is_closing():
                return
            piece = data[start : start + _PIECE_BYTES]
            super().data_received(piece)
            lines = len(self.headers) if self.headers else 0
            self.account.add_bytes(len(piece), lines, get_monotonic_time())
            self.guard.receive(self.account)

    def on_message_begin(self) -> None:
        """Begin a request unless too many wait before it."""
        if len(self.account.held) >= self.guard.limits.pipelined_requests:
            self._report(Cause.pipelined)
            raise _TooManyRequestsError
        self.account.begin_request(get_monotonic_time())
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a line of the head; trailers are not used."""
        if self.account.phase is Phase.head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin the body."""
        self.account.begin_body()
        super().on_headers_complete()

    def on_chunk_header(self) -> None:
        """Begin a chunk of the body."""
        self.account.add_body(0)

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        self.account.add_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request."""
        self.account.end_request(get_monotonic_time())
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request once the answer is read."""
        if not self.is_answer_unread:
            self.account.end_answer(get_monotonic_time())
            self.guard.release(self.account)
        self.is_answer_unread = self.flow.write_paused
        if self.account.refusal:
            self.transport.close()
        elif not self.is_answer_unread:
            super().on_response_complete()

    def pause_writing(self) -> None:
        """Read no further requests until the answer is read."""
        super().pause_writing()
        self.flow.pause_reading()
        self.account.unread_bytes = self.transport.get_write_buffer_size()
        self.account.unread_since = get_monotonic_time()
        self.guard.hold_unread(self.account)

    def resume_writing(self) -> None:
        """Go on after the answer was read."""
        super().resume_writing()
        self.account.unread_bytes = 0
        self.guard.release(self.account)
        if self.is_answer_unread:
            self.on_response_complete()
        elif not self.pipeline:
            self.flow.resume_reading()

    def measure(self, now: float) -> None:
        """Note if a part of the answer was read."""
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes < self.account.unread_bytes:
            self.account.unread_bytes = unread_bytes
            self.account.unread_since = now
            self.guard.release(self.account)

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuse bytes that cannot be parsed."""
        self._report(Cause.malformed)

    def refuse(self, cause: Cause) -> None:
        """Refuse the request that is received, and close."""
        account = self.account
        failure = make_refusal(cause, self.guard.limits)
        # Many connections may be refused before the first of them is closed.
        if self.headers:
            self.headers.clear()
        if account.unread_bytes:
            self.transport.abort()
        elif account.is_unanswered:
            # Requests before this one may run: the connection is closed
            # after the answer to the one in progress.
            self.pipeline.clear()
            self.flow.pause_reading()
        elif account.phase is Phase.body:
            self._refuse_body(failure)
        else:
            self.transport.write(_make_response(failure))
            self.transport.close()

    def _refuse_body(self, failure: Failure) -> None:
        if self.cycle.response_complete:
            self.transport.close()
            return
        self.scope['state'][REFUSAL] = failure
        self.cycle.body = bytearray()
        self.cycle.keep_alive = False
        self.cycle.message_event.set()

    def _report(self, cause: Cause) -> None:
        self.guard.refuse((Eviction(self.account, cause),))


def _make_response(failure: Failure) -> bytes:
    status = HTTPStatus(failure.http_status)
    body = json.dumps(encode_failure(failure)).encode()
    retry = 'retry-after: 1\r\n' if status in _RETRY_STATUSES else ''
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        f'content-type: application/json\r\n{retry}'
        f'content-length: {len(body)}\r\nconnection: close\r\n\r\n'
    )
    return head.encode() + body
