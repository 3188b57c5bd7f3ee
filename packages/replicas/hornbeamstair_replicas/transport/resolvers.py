"""Resolvers of the addresses of processes that are not in the settings."""

import re
from abc import ABC, abstractmethod
from typing import ClassVar, Final

from attrs import frozen

from hornbeamstair_core.addresses import is_ip_address, is_port
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ProcessId

__all__ = (
    'AddressedPeersResolver',
    'FixedPeersResolver',
    'PeerResolver',
    'get_addressed_process',
)

_PORT_PATTERN: Final = re.compile('[0-9]{1,5}')


@frozen
class PeerResolver(ABC):
    """Finds the address on which a process listens."""

    name: ClassVar[str]

    @abstractmethod
    def find(self, process: ProcessId) -> SocketAddress | None:
        """Find the listen address of a process; None if it is not known."""


@frozen
class FixedPeersResolver(PeerResolver):
    """Resolver for a fixed set of processes, all from the settings."""

    name: ClassVar[str] = 'fixed'

    def find(self, process: ProcessId) -> SocketAddress | None:
        """Return None: no process outside the settings is known."""
        return None


@frozen
class AddressedPeersResolver(PeerResolver):
    """Resolver for process identifiers of the form ADDRESS-PORT."""

    name: ClassVar[str] = 'addressed'

    def find(self, process: ProcessId) -> SocketAddress | None:
        """Parse the listen address; None if the identifier contains none."""
        address, _, port = process.rpartition('-')
        is_number = _PORT_PATTERN.fullmatch(port) is not None
        if not is_number or not is_port(int(port)):
            return None
        if not is_ip_address(address):
            return None
        return SocketAddress(address, int(port))


def get_addressed_process(listener: SocketAddress) -> ProcessId:
    """Get the identifier of the process with a listen address."""
    return ProcessId(f'{listener.address}-{listener.port}')
