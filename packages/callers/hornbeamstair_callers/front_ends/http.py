"""HTTP front end for calls: /SERVICE/PATH, with the customer in a header."""

from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from http import HTTPStatus
from typing import Any, ClassVar, Final

from attrs import define
from expression import Error, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.types import ASGIApp, Receive, Scope, Send

from hornbeamstair_callers.messages import CallRequest
from hornbeamstair_callers.runner import (
    CallResult,
    CallRunner,
    WaitForDisconnect,
)
from hornbeamstair_core.codec import encode_failure
from hornbeamstair_core.failures import Failure, InvalidFieldFailure
from hornbeamstair_core.front_end import HttpFrontEnd, read_body
from hornbeamstair_core.ids import CustomerId, ServiceName, is_name
from hornbeamstair_core.units import MIB
from hornbeamstair_upstreams.headers import get_forwarded_headers
from hornbeamstair_upstreams.messages import UpstreamAnswer, UpstreamRequest

__all__ = ('CUSTOMER_HEADER', 'HttpCallFrontEnd', 'KEY_HEADER')

CUSTOMER_HEADER: Final = 'hornbeamstair-customer'
KEY_HEADER: Final = 'idempotency-key'

_CODE_HEADER: Final = 'hornbeamstair-code'
_READY_PATH: Final = '/-/ready'
_MAX_REQUEST_BYTES: Final = MIB
_MAX_KEY_LENGTH: Final = 200


@define(eq=False)
class HttpCallFrontEnd(HttpFrontEnd):
    """HTTP front end that passes calls to a `CallRunner`."""

    name: ClassVar[str] = 'callers_http'

    runner: CallRunner
    is_ready: Callable[[], bool]
    max_request_bytes: int = _MAX_REQUEST_BYTES

    def get_app(self) -> ASGIApp:
        """Get the ASGI application."""
        return self.answer

    async def answer(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer one request."""
        request = Request(scope, receive)
        if scope['path'] == _READY_PATH:
            await self._answer_ready(request, send)
            return
        call = await self._read_call(request)
        if call.is_error():
            self.runner.metrics.count_refusal(call.error)
            await _write_failure(call.error, request, send)
            return
        wait_for_disconnect = _make_wait_for_disconnect(receive)
        async with self.runner.run(call.ok, wait_for_disconnect) as outcome:
            await _write_outcome(outcome, request, send)

    async def _read_call(
        self, request: Request
    ) -> Result[CallRequest, Failure]:
        checked = _check_names(request)
        if checked.is_error():
            return Error(checked.error)
        body = await read_body(request, self.max_request_bytes)
        return body.map(lambda content: _get_call(request, content))

    async def _answer_ready(self, request: Request, send: Send) -> None:
        is_ready = self.is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        response = JSONResponse({'ready': is_ready}, status)
        await response(request.scope, request.receive, send)


def _check_names(request: Request) -> Result[None, Failure]:
    if not is_name(request.headers.get(CUSTOMER_HEADER, '')):
        return Error(InvalidFieldFailure(CUSTOMER_HEADER, 'must be a name'))
    if not is_name(_get_service(request.scope)):
        return Error(InvalidFieldFailure('path', 'must be /SERVICE/...'))
    if len(request.headers.get(KEY_HEADER, '')) > _MAX_KEY_LENGTH:
        return Error(
            InvalidFieldFailure(
                KEY_HEADER,
                f'must have at most {_MAX_KEY_LENGTH} characters',
            ),
        )
    return Ok(None)


def _get_service(scope: Mapping[str, Any]) -> str:
    path: str = scope['path']
    return path.removeprefix('/').partition('/')[0]


def _get_call(request: Request, body: bytes) -> CallRequest:
    return CallRequest(
        customer=CustomerId(request.headers[CUSTOMER_HEADER]),
        service=ServiceName(_get_service(request.scope)),
        idempotency_key=request.headers.get(KEY_HEADER, ''),
        request=UpstreamRequest(
            method=request.method,
            target=_get_target(request.scope),
            headers=get_forwarded_headers(tuple(request.headers.items())),
            body=body,
        ),
    )


def _get_target(scope: Mapping[str, Any]) -> str:
    path = scope['raw_path'].decode('latin-1')
    # The HTTP client would parse the text after a semicolon as parameters.
    target = path.replace(';', '%3B')
    query = scope['query_string'].decode('latin-1')
    return f'{target}?{query}' if query else target


def _make_wait_for_disconnect(receive: Receive) -> WaitForDisconnect:
    async def wait_for_disconnect() -> None:  # noqa: WPS430
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return

    return wait_for_disconnect


async def _write_outcome(
    outcome: CallResult,
    request: Request,
    send: Send,
) -> None:
    if outcome.is_error():
        await _write_failure(outcome.error, request, send)
        return
    answer = outcome.ok
    await _write_start(answer, send)
    if answer.stream is None:
        await send({'type': 'http.response.body', 'body': answer.body})
    else:
        await _write_stream(answer.stream, send)


async def _write_start(answer: UpstreamAnswer, send: Send) -> None:
    headers = [
        (name.lower().encode('latin-1'), text.encode('latin-1'))
        for name, text in answer.headers
    ]
    if answer.body or answer.is_empty:
        length = str(len(answer.body)).encode()
        headers.append((b'content-length', length))
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        }
    )


async def _write_stream(
    stream: AsyncGenerator[bytes, None],
    send: Send,
) -> None:
    async with aclosing(stream) as chunks:
        async for chunk in chunks:
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
    await send({'type': 'http.response.body', 'body': b''})


async def _write_failure(
    failure: Failure,
    request: Request,
    send: Send,
) -> None:
    response = JSONResponse(
        encode_failure(failure),
        failure.http_status,
        {_CODE_HEADER: str(failure.number)},
    )
    await response(request.scope, request.receive, send)
