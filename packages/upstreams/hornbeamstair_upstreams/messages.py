"""Announcements of upstreams, and requests and answers of attempts."""

from collections.abc import AsyncGenerator
from enum import Enum

from attrs import define, frozen

from hornbeamstair_core.ids import ServiceName, UpstreamId, ZoneName

__all__ = (
    'Announcement',
    'AnnouncementAnswer',
    'Attempt',
    'AttemptEnd',
    'AttemptFailure',
    'Departure',
    'Headers',
    'UpstreamAnswer',
    'UpstreamRequest',
)

Headers = tuple[tuple[str, str], ...]


@frozen
class Announcement:
    """Announcement by which an upstream registers or renews its lease."""

    upstream: UpstreamId
    service: ServiceName
    zone: ZoneName
    address: str
    port: int
    slots: int
    connections: int
    incarnation: int


@frozen
class Departure:
    """Notice that an upstream accepts no new calls."""

    upstream: UpstreamId
    incarnation: int


@frozen
class AnnouncementAnswer:
    """Lease granted to an announced upstream."""

    lease_seconds: float
    renew_seconds: float


class AttemptEnd(Enum):
    """Reason why an attempt ended without a complete answer."""

    connect_failed = 'connect_failed'
    refused_by_upstream = 'refused_by_upstream'
    no_answer = 'no_answer'
    timed_out = 'timed_out'
    truncated = 'truncated'
    malformed = 'malformed'


@frozen
class UpstreamRequest:
    """HTTP request to an upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes


@define
class Attempt:
    """Attempt to send a request; tells whether any byte was written."""

    address: str
    port: int
    bytes_written: bool = False


@frozen
class AttemptFailure:
    """Failure of an attempt to get a complete answer."""

    end: AttemptEnd
    may_have_run: bool
    details: str


@frozen
class UpstreamAnswer:
    """Answer of an upstream; the body is complete or still streaming."""

    status: int
    headers: Headers
    body: bytes
    stream: AsyncGenerator[bytes, None] | None = None
    is_empty: bool = False
