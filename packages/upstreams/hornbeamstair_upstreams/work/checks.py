"""Validation of the announcements of workers before they take effect."""

import re
from collections.abc import Iterator
from math import isfinite
from typing import Final

from expression import Error, Ok, Result

from hornbeamstair_core.addresses import MAX_PORT, is_ip_address, is_port
from hornbeamstair_core.failures import Failure, InvalidFieldFailure
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import (
    HOUR,
    MAX_EXACT_INTEGER,
    to_milliseconds,
)
from hornbeamstair_upstreams.work.messages import WorkerAnnouncement

__all__ = ('check_announcement',)

# Worker identifiers are sent in HTTP headers.
_WORKER_PATTERN: Final = re.compile('[!-~]{1,128}')
# An incarnation is the start time of a worker by its own clock; clocks of
# machines differ by seconds.
_MAX_CLOCK_LEAD_SECONDS: Final = HOUR


def check_announcement(
    announced: WorkerAnnouncement,
    now: Moment,
) -> Result[WorkerAnnouncement, Failure]:
    """Refuse an announcement with an invalid field, naming the field."""
    problem = next(_find_problems(announced, now), None)
    if problem is not None:
        return Error(InvalidFieldFailure(*problem))
    return Ok(announced)


def _find_problems(
    announced: WorkerAnnouncement,
    now: Moment,
) -> Iterator[tuple[str, str]]:
    if not _WORKER_PATTERN.fullmatch(announced.worker):
        yield 'worker', 'must be 1 to 128 printable ASCII characters'
    if not is_ip_address(announced.address):
        yield 'address', 'must be an IP address'
    if not is_port(announced.port):
        yield 'port', f'must be from 1 to {MAX_PORT}'
    room = announced.room
    for name, number in (
        ('sequence', announced.sequence),
        ('incarnation', announced.incarnation),
        ('cpu', room.cpu),
        ('memory', room.memory),
        ('accelerators', room.accelerators),
    ):
        if not 0 <= number <= MAX_EXACT_INTEGER:
            yield name, f'must be from 0 to {MAX_EXACT_INTEGER}'
    latest = to_milliseconds(now.wall + _MAX_CLOCK_LEAD_SECONDS)
    if announced.incarnation > latest:
        yield 'incarnation', 'must not be in the future'
    if not isfinite(announced.remaining_seconds):
        yield 'remaining_seconds', 'must be finite'
