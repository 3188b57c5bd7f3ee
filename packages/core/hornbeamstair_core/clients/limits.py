"""Limits of what clients may send, hold and leave unread."""

from typing import Final

from attrs import frozen

from hornbeamstair_core.options import OptionsReader
from hornbeamstair_core.units import HOUR, KIB, MIB

__all__ = ('ClientLimits', 'read_client_limits')

# Twice the largest head that callers are promised.
_MIN_HEAD_BYTES: Final = 32 * KIB  # noqa: WPS432
_GIB: Final = 1024 * MIB
_MAX_COUNT: Final = 1000000


@frozen
class ClientLimits:
    """Limits of one process for the clients of all its front ends."""

    # Empty lines before a request; RFC 9112 asks to bear at least one.
    lead_bytes: int = 4 * KIB
    # Four times the largest head that callers are promised.
    head_bytes: int = 64 * KIB  # noqa: WPS432
    # Trailers, or the size line of a chunk.
    trailer_bytes: int = 16 * KIB  # noqa: WPS432
    # The largest body that a front end reads.
    body_bytes: int = 8 * MIB
    # What unanswered requests and unread answers may hold together. Several
    # of the largest bodies, and a sixth of the memory of an entry host.
    unfinished_bytes: int = 32 * MIB  # noqa: WPS432
    # Requests that one connection sends before the first is answered.
    pipelined_requests: int = 64
    # Leaves a tenth of the descriptors of a host to peers, workers and files.
    connections: int = 3500
    # As many as all: behind a load balancer all clients may share an address.
    connections_per_client: int = 3500
    # Ten times the longest deadline of an ordinary request.
    head_seconds: float = 30.0
    body_seconds: float = 30.0
    unread_seconds: float = 30.0


def read_client_limits(reader: OptionsReader) -> ClientLimits:
    """Read limits; those that are absent have their defaults."""
    defaults = ClientLimits()

    def read_int(name: str, low: int, high: int) -> int:  # noqa: WPS430
        return reader.get_int_opt(name, low, high, getattr(defaults, name))

    def read_seconds(name: str) -> float:  # noqa: WPS430
        return reader.get_float_opt(name, 1, HOUR, getattr(defaults, name))

    limits = ClientLimits(
        lead_bytes=read_int('lead_bytes', 2, MIB),
        head_bytes=read_int('head_bytes', _MIN_HEAD_BYTES, MIB),
        trailer_bytes=read_int('trailer_bytes', KIB, MIB),
        body_bytes=read_int('body_bytes', KIB, _GIB),
        unfinished_bytes=read_int('unfinished_bytes', MIB, _GIB),
        pipelined_requests=read_int('pipelined_requests', 1, _MAX_COUNT),
        connections=read_int('connections', 10, _MAX_COUNT),
        connections_per_client=read_int(
            'connections_per_client', 1, _MAX_COUNT
        ),
        head_seconds=read_seconds('head_seconds'),
        body_seconds=read_seconds('body_seconds'),
        unread_seconds=read_seconds('unread_seconds'),
    )
    reader.check_unknown()
    return limits
