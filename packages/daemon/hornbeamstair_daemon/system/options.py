"""Reader of the YAML settings file of a system process."""

from functools import partial
from pathlib import Path
from typing import Final

from attrs import field, frozen
from expression import Error, Result

from hornbeamstair_core.clients.limits import ClientLimits, read_client_limits
from hornbeamstair_core.codec import decode_yaml_mapping, read_message
from hornbeamstair_core.failures import Failure, UnreadablePayloadFailure
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_core.options import OptionsReader
from hornbeamstair_core.units import HOUR
from hornbeamstair_daemon.settings import read_socket_address
from hornbeamstair_daemon.system.settings import SystemSettings
from hornbeamstair_upstreams.work.leases import get_lease_terms

__all__ = ('SystemOptions', 'read_system_options')

_ROLES: Final = ('control', 'entry')
_DEFAULT_FAULT_TOLERANCE: Final = 1
# Each further tolerated failure takes two more voters that commits wait for.
_MAX_FAULT_TOLERANCE: Final = 3
_DEFAULT_LEASE_SECONDS: Final = 6.0
_DEFAULT_STOP_SECONDS: Final = 0.2
_DEFAULT_GRACE_SECONDS: Final = 6.0
# All racks are as good: no task waits for one.
_DEFAULT_RACK_FACTOR: Final = 1.0
# Tasks that are slower away from their data would not run there at all.
_MAX_RACK_FACTOR: Final = 100.0


@frozen
class SystemOptions:
    """Role of a process, its settings and the listen address of its API."""

    role: str
    settings: SystemSettings
    api: SocketAddress
    client_limits: ClientLimits = field(factory=ClientLimits)


def read_system_options(
    path: Path,
    *,
    bootstrap: bool,
) -> Result[SystemOptions, Failure]:
    """Read a settings file; the failure names every invalid option."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Error(UnreadablePayloadFailure(reason=str(error)))
    read_options = partial(_read_options, bootstrap=bootstrap)
    return decode_yaml_mapping(text).bind(
        lambda options: read_message(options, read_options),
    )


def _read_options(reader: OptionsReader, *, bootstrap: bool) -> SystemOptions:
    data_folder = reader.get_str_opt('data_folder', '')
    max_lease_seconds = reader.get_float_opt(
        'longest_lease_seconds',
        1,
        HOUR,
        _DEFAULT_LEASE_SECONDS,
    )
    stop_seconds = reader.get_float_opt(
        'stop_seconds', 0, HOUR, _DEFAULT_STOP_SECONDS
    )
    role = reader.get_choice_opt('role', _ROLES)
    if role == 'control' and not data_folder:
        reader.add_problem('data_folder', 'is required for the role control')
    settings = SystemSettings(
        label=reader.get_name_opt('process'),
        zone=ZoneName(reader.get_name_opt('zone')),
        listen_address=read_socket_address(reader.get_section('listen')),
        seeds=tuple(map(read_socket_address, reader.get_sections('seeds'))),
        bootstrap=bootstrap,
        data_folder=Path(data_folder) if data_folder else None,
        losses=reader.get_int_opt(
            'losses', 1, _MAX_FAULT_TOLERANCE, _DEFAULT_FAULT_TOLERANCE
        ),
        lease=get_lease_terms(max_lease_seconds, stop_seconds),
        grace_seconds=reader.get_float_opt(
            'grace_seconds',
            0,
            HOUR,
            _DEFAULT_GRACE_SECONDS,
        ),
        metrics=None,
        rack_factor=reader.get_float_opt(
            'rack_factor', 1, _MAX_RACK_FACTOR, _DEFAULT_RACK_FACTOR
        ),
    )
    return SystemOptions(
        role,
        settings,
        read_socket_address(reader.get_section('api')),
        read_client_limits(
            reader.get_section('client_limits', required=False),
        ),
    )
