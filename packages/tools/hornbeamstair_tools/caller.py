"""HTTP caller of the daemon for tests and the demonstration."""

from typing import Final

from aiosonic import HTTPClient
from attrs import frozen

__all__ = ('CallResponse', 'call')

_CODE_HEADER: Final = 'hornbeamstair-code'


@frozen
class CallResponse:
    """HTTP response that a caller received; code 0 without an error code."""

    status: int
    code: int
    body: bytes


async def call(
    client: HTTPClient,
    url: str,
    customer: str,
    key: str = '',
    body: bytes = b'{}',
    method: str = 'POST',
) -> CallResponse:
    """Send one call and read its complete response."""
    headers = {'hornbeamstair-customer': customer}
    if key:
        headers['idempotency-key'] = key
    content = None if method == 'GET' else body
    response = await client.request(url, method, headers=headers, data=content)
    return CallResponse(
        status=response.status_code,
        code=int(response.headers.get(_CODE_HEADER) or 0),
        body=await response.content(),
    )
