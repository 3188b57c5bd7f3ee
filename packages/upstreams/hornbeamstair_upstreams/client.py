"""HTTP client that sends single attempts of calls to upstreams."""

from asyncio import IncompleteReadError, timeout
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any, Final

from aiosonic import HTTPClient, TCPConnector, Timeouts
from aiosonic.client import HttpResponse
from aiosonic.exceptions import (
    AiosonicError,
    BaseTimeout,
    ConnectionDisconnected,
    ConnectTimeout,
    HttpParsingError,
)
from aiosonic.pools import PoolConfig
from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_upstreams.connections import (
    IpResolver,
    TrackedConnection,
    current_attempt,
)
from hornbeamstair_upstreams.headers import get_forwarded_headers
from hornbeamstair_upstreams.messages import (
    Attempt,
    AttemptEnd,
    AttemptFailure,
    Headers,
    UpstreamAnswer,
    UpstreamRequest,
)
from hornbeamstair_upstreams.sender import UpstreamSender

__all__ = ('MAX_BUFFERED_BYTES', 'NOT_RUN_HEADER', 'UpstreamClient')

NOT_RUN_HEADER: Final = 'hornbeamstair-not-run'
MAX_BUFFERED_BYTES: Final = 65536

_CONNECT_SECONDS: Final = 0.5
_IDLE_MILLISECONDS: Final = 10000
_POOL_SIZE: Final = 1024
_NO_BODY_STATUSES: Final = frozenset((204, 304))
_ATTEMPT_ERRORS: Final = (
    AiosonicError,
    IncompleteReadError,
    OSError,
    ValueError,
)


def _make_client() -> HTTPClient:
    connector = TCPConnector(
        pool_configs={
            ':default': PoolConfig(
                size=_POOL_SIZE,
                max_conn_idle_ms=_IDLE_MILLISECONDS,
            ),
        },
        connection_cls=TrackedConnection,
        resolver=IpResolver(),
    )
    return HTTPClient(connector, handle_cookies=False, trust_env=False)


@define
class UpstreamClient(UpstreamSender):
    """HTTP client for upstreams; never retries."""

    answer_timeout: float
    client: HTTPClient = field(factory=_make_client)

    async def send(
        self,
        attempt: Attempt,
        request: UpstreamRequest,
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        """Send a request once and return its answer."""
        token = current_attempt.set(attempt)
        try:
            return await self._send(attempt, request)
        except _ATTEMPT_ERRORS as error:
            return _fail(attempt, _classify_error(error, attempt), repr(error))
        finally:
            current_attempt.reset(token)

    async def close(self) -> None:
        """Close the idle connections."""
        await self.client.connector.cleanup()

    async def _send(
        self,
        attempt: Attempt,
        request: UpstreamRequest,
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        response = await self.client.request(
            f'http://{attempt.address}:{attempt.port}{request.target}',
            request.method,
            headers=list(request.headers),
            data=request.body or None,
            timeouts=Timeouts(
                sock_connect=_CONNECT_SECONDS,
                sock_read=self.answer_timeout,
                request_timeout=self.answer_timeout,
            ),
            stream=True,
        )
        headers = get_forwarded_headers(tuple(response.raw_headers))
        if response.headers.get(NOT_RUN_HEADER) is not None:
            await response.aclose()
            attempt.bytes_written = False
            return _fail(
                attempt,
                AttemptEnd.refused_by_upstream,
                f'refused as not run with status {response.status_code}',
            )
        return await self._read_answer(request, response, headers)

    async def _read_answer(
        self,
        request: UpstreamRequest,
        response: HttpResponse,
        headers: Headers,
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        status = response.status_code
        length = response.headers.get('content-length')
        if request.method == 'HEAD' or status in _NO_BODY_STATUSES:
            return Ok(UpstreamAnswer(status, headers, b''))
        if length is None and not response.chunked:
            raise HttpParsingError(
                'answer without content-length or chunked encoding',
            )
        if length is not None and int(length) <= MAX_BUFFERED_BYTES:
            async with timeout(self.answer_timeout):
                body = await _read_body(response, int(length))
            answer = UpstreamAnswer(status, headers, body, is_empty=not body)
            return Ok(answer)
        stream = _stream(response, self.answer_timeout)
        return Ok(UpstreamAnswer(status, headers, b'', stream))


async def _read_body(response: HttpResponse, length: int) -> bytes:
    if not length:
        return b''
    try:
        chunks = [chunk async for chunk in response.read_chunks()]
    except ConnectionDisconnected as error:
        raise IncompleteReadError(b'', length) from error
    return b''.join(chunks)


async def _stream(
    response: HttpResponse,
    chunk_timeout: float,
) -> AsyncGenerator[bytes, None]:
    async with aclosing(response.read_chunks()) as chunks:
        while True:
            async with timeout(chunk_timeout):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk


def _classify_error(error: Exception, attempt: Attempt) -> AttemptEnd:
    match error:
        case ConnectTimeout():
            return AttemptEnd.connect_failed
        case BaseTimeout() | TimeoutError():
            return AttemptEnd.timed_out
        case IncompleteReadError():
            return AttemptEnd.truncated
        case HttpParsingError() | ValueError():
            return AttemptEnd.malformed
        case _ if attempt.bytes_written:
            return AttemptEnd.no_answer
        case _:
            return AttemptEnd.connect_failed


def _fail(
    attempt: Attempt,
    end: AttemptEnd,
    details: str,
) -> Result[Any, AttemptFailure]:
    return Error(AttemptFailure(end, attempt.bytes_written, details))
