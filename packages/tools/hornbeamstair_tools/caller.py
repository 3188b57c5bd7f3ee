"""Caller that sends calls through the system."""

from typing import Final

from aiosonic import HTTPClient
from attrs import frozen

__all__ = ('CallAnswer', 'call')

_CODE_HEADER: Final = 'hornbeamstair-code'


@frozen
class CallAnswer:
    """Answer that a caller received."""

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
) -> CallAnswer:
    """Send one call and read its whole answer."""
    headers = {'hornbeamstair-customer': customer}
    if key:
        headers['idempotency-key'] = key
    content = None if method == 'GET' else body
    answer = await client.request(url, method, headers=headers, data=content)
    return CallAnswer(
        status=answer.status_code,
        code=int(answer.headers.get(_CODE_HEADER) or 0),
        body=await answer.content(),
    )
