"""Announcements of upstreams and attempts at calls."""

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
    """Offer of an upstream to serve calls until its lease ends."""

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
    """Notice that an upstream takes no new calls."""

    upstream: UpstreamId
    incarnation: int


@frozen
class AnnouncementAnswer:
    """Lease that an announcement was given."""

    lease_seconds: float
    renew_seconds: float


class AttemptEnd(Enum):
    """Way in which an attempt ended without a whole answer."""

    connect_failed = 'connect_failed'
    refused_by_upstream = 'refused_by_upstream'
    no_answer = 'no_answer'
    timed_out = 'timed_out'
    truncated = 'truncated'
    malformed = 'malformed'


@frozen
class UpstreamRequest:
    """Request as it is sent to an upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes


@define
class Attempt:
    """One sending of a request; records whether any byte left."""

    address: str
    port: int
    bytes_written: bool = False


@frozen
class AttemptFailure:
    """Attempt that ended without a whole answer."""

    end: AttemptEnd
    may_have_run: bool
    details: str


@frozen
class UpstreamAnswer:
    """Answer of an upstream; the body is whole or still streams."""

    status: int
    headers: Headers
    body: bytes
    stream: AsyncGenerator[bytes, None] | None = None
    is_empty: bool = False
