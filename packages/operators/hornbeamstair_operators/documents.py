"""Decoding and validation of contract and pool documents."""

from collections.abc import Mapping
from typing import Any, Final

from expression import Result

from hornbeamstair_core.codec import read_message
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import (
    CustomerId,
    HostId,
    PoolName,
    RackName,
    ServiceName,
    ZoneName,
)
from hornbeamstair_core.options import OptionsReader
from hornbeamstair_core.units import DAY
from hornbeamstair_fleet.messages import Host, Pool
from hornbeamstair_operators.messages import (
    Contract,
    ServicePromise,
    Urgency,
)

__all__ = (
    'decode_contract',
    'decode_contract_options',
    'decode_pool',
    'decode_pool_options',
)

_MAX_CONCURRENCY: Final = 100000
_MAX_RATE: Final = 1000000.0
_MAX_BURST_MULTIPLE: Final = 100.0
_MIN_AVAILABILITY: Final = 0.5
_MAX_AVAILABILITY: Final = 0.99999
_MAX_WINDOW_DAYS: Final = 366
_MIN_RATE: Final = 0.001
_MIN_START_WITHIN_SECONDS: Final = 0.01
_MAX_SLOTS: Final = 10000
_DEFAULT_START_WITHIN_SECONDS: Final = 1.0
_DEFAULT_PLANNED_SHARE: Final = 0.5


def decode_contract(
    options: Mapping[str, Any],
) -> Result[Contract, Failure]:
    """Decode a contract; the failure names every invalid field."""
    return read_message(options, decode_contract_options)


def decode_pool(options: Mapping[str, Any]) -> Result[Pool, Failure]:
    """Decode a pool; the failure names every invalid field."""
    return read_message(options, decode_pool_options)


def decode_contract_options(reader: OptionsReader) -> Contract:
    """Decode a contract from an options reader."""
    promises = tuple(
        _decode_promise(section) for section in reader.get_sections('services')
    )
    _check_unique(reader, 'services', [promise.service for promise in promises])
    contract = Contract(
        customer=CustomerId(reader.get_name_opt('customer')),
        home_zone=ZoneName(reader.get_name_opt('home_zone')),
        availability=reader.get_float_opt(
            'availability',
            _MIN_AVAILABILITY,
            _MAX_AVAILABILITY,
        ),
        window_days=reader.get_int_opt('window_days', 1, _MAX_WINDOW_DAYS),
        planned_share=reader.get_float_opt(
            'planned_share',
            0,
            1,
            _DEFAULT_PLANNED_SHARE,
        ),
        services=promises,
    )
    reader.check_unknown()
    return contract


def _decode_promise(reader: OptionsReader) -> ServicePromise:
    urgency = reader.get_choice_opt(
        'urgency',
        tuple(member.value for member in Urgency),
    )
    promise = ServicePromise(
        service=ServiceName(reader.get_name_opt('service')),
        concurrency=reader.get_int_opt('concurrency', 1, _MAX_CONCURRENCY),
        rate=reader.get_float_opt('rate', _MIN_RATE, _MAX_RATE),
        burst_multiple=reader.get_float_opt(
            'burst_multiple',
            1,
            _MAX_BURST_MULTIPLE,
            1,
        ),
        burst_seconds=reader.get_float_opt('burst_seconds', 0, DAY, 0),
        urgency=Urgency(urgency),
        start_within=reader.get_float_opt(
            'start_within',
            _MIN_START_WITHIN_SECONDS,
            DAY,
            _DEFAULT_START_WITHIN_SECONDS,
        ),
        idempotent=reader.get_bool_opt('idempotent'),
    )
    reader.check_unknown()
    return promise


def decode_pool_options(reader: OptionsReader) -> Pool:
    """Decode a pool from an options reader."""
    hosts = tuple(
        _decode_host(section) for section in reader.get_sections('hosts')
    )
    _check_unique(reader, 'hosts', [host.host for host in hosts])
    pool = Pool(
        pool=PoolName(reader.get_name_opt('pool')),
        service=ServiceName(reader.get_name_opt('service')),
        is_spare=reader.get_bool_opt('is_spare', default=False),
        hosts=hosts,
    )
    reader.check_unknown()
    return pool


def _decode_host(reader: OptionsReader) -> Host:
    host = Host(
        host=HostId(reader.get_name_opt('host')),
        zone=ZoneName(reader.get_name_opt('zone')),
        rack=RackName(reader.get_name_opt('rack')),
        slots=reader.get_int_opt('slots', 1, _MAX_SLOTS),
    )
    reader.check_unknown()
    return host


def _check_unique(
    reader: OptionsReader,
    name: str,
    identifiers: list[Any],
) -> None:
    if len(set(identifiers)) < len(identifiers):
        reader.add_problem(name, 'names the same member twice')
