"""Filtering of hop-by-hop HTTP headers."""

from typing import Final

from hornbeamstair_upstreams.messages import Headers

__all__ = ('get_forwarded_headers',)

_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def get_forwarded_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    dropped = set(_HOP_BY_HOP)
    for name, text in headers:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
    return tuple(
        (name, text) for name, text in headers if name.lower() not in dropped
    )
