"""Client of the operators' API."""

from asyncio import run, sleep
from http import HTTPStatus
from typing import Any, Final

from aiosonic import HTTPClient, Timeouts
from aiosonic.exceptions import (
    BaseTimeout,
    ConnectionDisconnected,
    HttpParsingError,
)
from attrs import frozen
from expression import Error, Ok, Result

__all__ = ('ApiAnswer', 'ApiClient', 'UnreachableError')

_TIMEOUT_SECONDS: Final = 10.0
# An election takes about a second; a resend is safe.
_ATTEMPTS: Final = 5
_PAUSE_SECONDS: Final = 0.5


@frozen
class UnreachableError:
    """Server that gave no answer."""

    reason: str


@frozen
class ApiAnswer:
    """Answer of the API as decoded JSON."""

    status: int
    document: Any


@frozen
class ApiClient:
    """Client that resends requests whose answers are lost.

    Reads change nothing and changes carry a request id, so that a resend
    is safe.
    """

    server: str
    token: str

    def get(self, path: str) -> Result[ApiAnswer, UnreachableError]:
        """Read a document."""
        return run(self._send('GET', path, None))

    def post(
        self,
        path: str,
        document: dict[str, Any],
    ) -> Result[ApiAnswer, UnreachableError]:
        """Send a document."""
        return run(self._send('POST', path, document))

    def put(
        self,
        path: str,
        document: dict[str, Any],
    ) -> Result[ApiAnswer, UnreachableError]:
        """Put a document in place."""
        return run(self._send('PUT', path, document))

    def delete(self, path: str) -> Result[ApiAnswer, UnreachableError]:
        """Take something away."""
        return run(self._send('DELETE', path, None))

    async def _send(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
    ) -> Result[ApiAnswer, UnreachableError]:
        reason = ''
        for attempt in range(_ATTEMPTS):
            await sleep(attempt * _PAUSE_SECONDS)
            try:
                answer = await self._send_once(method, path, document)
            except (BaseTimeout, ConnectionDisconnected) as dropped:
                reason = type(dropped).__name__
            except (HttpParsingError, OSError, ValueError) as error:
                reason = str(error)
            else:
                if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return Ok(answer)
                reason = answer.document['message']
        return Error(UnreachableError(reason))

    async def _send_once(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
    ) -> ApiAnswer:
        client = HTTPClient()
        try:
            response = await client.request(
                f'{self.server}{path}',
                method,
                headers={'authorization': f'Bearer {self.token}'},
                json=document,
                timeouts=Timeouts(request_timeout=_TIMEOUT_SECONDS),
            )
            return ApiAnswer(response.status_code, await response.json())
        finally:
            await client.aclose()
