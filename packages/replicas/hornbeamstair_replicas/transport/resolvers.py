"""Ways to find the address of a process that is not in the settings."""

from abc import ABC, abstractmethod
from ipaddress import ip_address
from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.front_end import Listener
from hornbeamstair_core.ids import ProcessId

__all__ = (
    'AddressedPeersResolver',
    'FixedPeersResolver',
    'PeerResolver',
    'get_addressed_process',
)


@frozen
class PeerResolver(ABC):
    """Way to find where a process listens."""

    name: ClassVar[str]

    @abstractmethod
    def find(self, process: ProcessId) -> Listener | None:
        """Find where a process listens; None if it is not known."""


@frozen
class FixedPeersResolver(PeerResolver):
    """Know no process but those of the settings."""

    name: ClassVar[str] = 'fixed'

    def find(self, process: ProcessId) -> Listener | None:
        """Find nothing."""
        return None


@frozen
class AddressedPeersResolver(PeerResolver):
    """Read the address from the identifier of the process."""

    name: ClassVar[str] = 'addressed'

    def find(self, process: ProcessId) -> Listener | None:
        """Find where a process listens; None if its name has no address."""
        address, _, port = process.rpartition('-')
        try:
            ip_address(address)
        except ValueError:
            return None
        return Listener(address, int(port)) if port.isdecimal() else None


def get_addressed_process(listener: Listener) -> ProcessId:
    """Get the identifier of a process that names its address."""
    return ProcessId(f'{listener.address}-{listener.port}')
