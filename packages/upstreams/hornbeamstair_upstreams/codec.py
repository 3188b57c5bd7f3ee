"""Decoding of announcements and departures."""

from typing import Final

from expression import Result

from hornbeamstair_core.addresses import MAX_PORT, is_ip_address
from hornbeamstair_core.codec import decode_json_mapping, read_message
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ServiceName, UpstreamId, ZoneName
from hornbeamstair_core.options import OptionsReader
from hornbeamstair_core.units import MAX_EXACT_INTEGER
from hornbeamstair_upstreams.messages import Announcement, Departure

__all__ = ('decode_announcement', 'decode_departure')

_MAX_SLOTS: Final = 10000
_MAX_CONNECTIONS: Final = 100000


def decode_announcement(payload: bytes) -> Result[Announcement, Failure]:
    """Decode an announcement from JSON."""
    return decode_json_mapping(payload).bind(
        lambda options: read_message(options, _decode_announcement),
    )


def decode_departure(payload: bytes) -> Result[Departure, Failure]:
    """Decode a departure from JSON."""
    return decode_json_mapping(payload).bind(
        lambda options: read_message(options, _decode_departure),
    )


def _decode_announcement(reader: OptionsReader) -> Announcement:
    address = reader.get_str_opt('address')
    if not is_ip_address(address):
        reader.add_problem('address', 'must be an IP address')
    return Announcement(
        upstream=UpstreamId(reader.get_name_opt('upstream')),
        service=ServiceName(reader.get_name_opt('service')),
        zone=ZoneName(reader.get_name_opt('zone')),
        address=address,
        port=reader.get_int_opt('port', 1, MAX_PORT),
        slots=reader.get_int_opt('slots', 1, _MAX_SLOTS),
        connections=reader.get_int_opt('connections', 1, _MAX_CONNECTIONS),
        incarnation=reader.get_int_opt('incarnation', 0, MAX_EXACT_INTEGER),
    )


def _decode_departure(reader: OptionsReader) -> Departure:
    return Departure(
        upstream=UpstreamId(reader.get_name_opt('upstream')),
        incarnation=reader.get_int_opt('incarnation', 0, MAX_EXACT_INTEGER),
    )
