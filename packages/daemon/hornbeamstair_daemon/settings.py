"""Settings of the daemon, validated when read."""

from ipaddress import ip_address
from pathlib import Path
from typing import Final

from attrs import field, frozen
from expression import Error, Result

from hornbeamstair_core.clients.limits import ClientLimits, read_client_limits
from hornbeamstair_core.codec import decode_yaml_mapping, read_message
from hornbeamstair_core.failures import Failure, UnreadablePayloadFailure
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ProcessId, ZoneName
from hornbeamstair_core.options import OptionsReader
from hornbeamstair_core.units import HOUR
from hornbeamstair_replicas.learning.members import Member
from hornbeamstair_replicas.transport.peer_connection import PeerAddress

__all__ = (
    'ListenAddresses',
    'PeerSettings',
    'Settings',
    'read_socket_address',
    'read_settings',
)

_MAX_PORT: Final = 65535
_MIN_SECRET_LENGTH: Final = 16
_PEERS: Final = 'peers'
_DEFAULT_UPSTREAM_SECONDS: Final = 60.0
_DEFAULT_BALANCER_SECONDS: Final = 5.0


@frozen
class ListenAddresses:
    """Addresses on which the daemon listens, by kind of peer."""

    callers: SocketAddress
    upstreams: SocketAddress
    operators: SocketAddress


@frozen
class PeerSettings:
    """Processes of the system and the key that they share."""

    listen_address: SocketAddress
    shared_key: str
    members: tuple[Member, ...]
    addresses: tuple[PeerAddress, ...]

    def is_voter(self, process: ProcessId) -> bool:
        """Return whether a process is configured as a voter."""
        return any(
            member.is_voter
            for member in self.members
            if member.process == process
        )


@frozen
class Settings:
    """Settings of one process."""

    process: ProcessId
    zone: ZoneName
    data_folder: Path
    listen_addresses: ListenAddresses
    operators_token: str
    json_logs: bool
    # Maximum wait for the answer of an upstream.
    answer_seconds: float
    # Time from not ready until the front ends stop, in which the load
    # balancer moves calls elsewhere.
    balancer_seconds: float
    peers: PeerSettings | None
    client_limits: ClientLimits = field(factory=ClientLimits)


def read_settings(path: Path) -> Result[Settings, Failure]:
    """Read a settings file; the failure names every invalid option."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Error(UnreadablePayloadFailure(reason=str(error)))
    return decode_yaml_mapping(text).bind(
        lambda options: read_message(options, _read_settings),
    )


def _read_settings(reader: OptionsReader) -> Settings:
    token = reader.get_str_opt('operators_token')
    if len(token) < _MIN_SECRET_LENGTH:
        reader.add_problem(
            'operators_token',
            f'must have at least {_MIN_SECRET_LENGTH} characters',
        )
    return Settings(
        process=ProcessId(reader.get_name_opt('process')),
        zone=ZoneName(reader.get_name_opt('zone')),
        data_folder=Path(reader.get_str_opt('data_folder')),
        listen_addresses=_read_listen_addresses(reader.get_section('listen')),
        operators_token=token,
        json_logs=reader.get_bool_opt('json_logs', default=False),
        answer_seconds=reader.get_float_opt(
            'answer_seconds',
            0.1,
            HOUR,
            _DEFAULT_UPSTREAM_SECONDS,
        ),
        balancer_seconds=reader.get_float_opt(
            'balancer_seconds',
            0,
            HOUR,
            _DEFAULT_BALANCER_SECONDS,
        ),
        peers=_read_peers(reader),
        client_limits=read_client_limits(
            reader.get_section('client_limits', required=False),
        ),
    )


def _read_peers(reader: OptionsReader) -> PeerSettings | None:
    if reader.options.get(_PEERS) is None:
        reader.known_names.add(_PEERS)
        return None
    section: OptionsReader = reader.get_section(_PEERS)
    shared_key = section.get_str_opt('shared_key')
    if len(shared_key) < _MIN_SECRET_LENGTH:
        section.add_problem(
            'shared_key',
            f'must have at least {_MIN_SECRET_LENGTH} characters',
        )
    processes = [
        _read_process(process) for process in section.get_sections('processes')
    ]
    own = reader.options.get('process')
    own_addresses = [
        address.listen_address
        for _, address in processes
        if address.process == own
    ]
    if not own_addresses:
        section.add_problem('processes', f'must name this process, {own}')
    section.check_unknown()
    return PeerSettings(
        listen_address=own_addresses[0]
        if own_addresses
        else SocketAddress('', 0),
        shared_key=shared_key,
        members=tuple(member for member, _ in processes),
        addresses=tuple(address for _, address in processes),
    )


def _read_process(reader: OptionsReader) -> tuple[Member, PeerAddress]:
    process = ProcessId(reader.get_name_opt('process'))
    member = Member(
        process,
        ZoneName(reader.get_name_opt('zone')),
        reader.get_bool_opt('is_voter', default=False),
    )
    address = read_socket_address(reader)
    return member, PeerAddress(process, address)


def _read_listen_addresses(reader: OptionsReader) -> ListenAddresses:
    addresses = ListenAddresses(
        callers=read_socket_address(reader.get_section('callers')),
        upstreams=read_socket_address(reader.get_section('upstreams')),
        operators=read_socket_address(reader.get_section('operators')),
    )
    reader.check_unknown()
    return addresses


def read_socket_address(reader: OptionsReader) -> SocketAddress:
    """Read an IP address with a port."""
    address = reader.get_str_opt('address')
    try:
        ip_address(address)
    except ValueError:
        reader.add_problem('address', 'must be an IP address')
    socket_address = SocketAddress(
        address,
        reader.get_int_opt('port', 1, _MAX_PORT),
    )
    reader.check_unknown()
    return socket_address
