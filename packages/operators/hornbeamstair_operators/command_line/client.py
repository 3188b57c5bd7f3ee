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
from attrs import evolve, frozen
from expression import Error, Ok, Result

__all__ = ('ApiClient', 'ApiResponse', 'UnreachableError')

_TIMEOUT_SECONDS: Final = 10.0
# The pauses between attempts sum to 5 s; an election takes about 1 s.
_ATTEMPTS: Final = 5
_RETRY_PAUSE_SECONDS: Final = 0.5


@frozen
class UnreachableError:
    """Failure to get a response after all attempts."""

    reason: str


@frozen
class ApiResponse:
    """HTTP response of the API with its decoded JSON body."""

    status: int
    document: Any


@frozen
class ApiClient:
    """Client that resends requests without a response or with status 503.

    A resend is safe: reads change nothing, and changes carry a request id.
    """

    server: str
    token: str

    def with_token(self, token: str) -> 'ApiClient':
        """Get a client that sends another token, or the same if it is empty."""
        return evolve(self, token=token or self.token)

    def get(self, path: str) -> Result[ApiResponse, UnreachableError]:
        """Send a GET request."""
        return run(self._send('GET', path, None))

    def post(
        self,
        path: str,
        document: dict[str, Any],
    ) -> Result[ApiResponse, UnreachableError]:
        """Send a POST request with a JSON document."""
        return run(self._send('POST', path, document))

    def put(
        self,
        path: str,
        document: dict[str, Any],
    ) -> Result[ApiResponse, UnreachableError]:
        """Send a PUT request with a JSON document."""
        return run(self._send('PUT', path, document))

    def delete(self, path: str) -> Result[ApiResponse, UnreachableError]:
        """Send a DELETE request."""
        return run(self._send('DELETE', path, None))

    async def _send(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
    ) -> Result[ApiResponse, UnreachableError]:
        reason = ''
        for attempt in range(_ATTEMPTS):
            await sleep(attempt * _RETRY_PAUSE_SECONDS)
            try:
                response = await self._send_once(method, path, document)
            except (BaseTimeout, ConnectionDisconnected) as connection_error:
                reason = type(connection_error).__name__
            except (HttpParsingError, OSError, ValueError) as error:
                reason = str(error)
            else:
                if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return Ok(response)
                reason = response.document['message']
        return Error(UnreachableError(reason))

    async def _send_once(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
    ) -> ApiResponse:
        client = HTTPClient()
        try:
            response = await client.request(
                f'{self.server}{path}',
                method,
                headers={'authorization': f'Bearer {self.token}'},
                json=document,
                timeouts=Timeouts(request_timeout=_TIMEOUT_SECONDS),
            )
            return ApiResponse(response.status_code, await response.json())
        finally:
            await client.aclose()
