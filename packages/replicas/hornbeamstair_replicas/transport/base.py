"""Base class of the ways to send messages to other processes."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.voter_ids import get_address, get_process

__all__ = ('LocalTransport', 'PeerTransport')

Receiver = Callable[[VoterId, PeerMessage], None]


@define(eq=False)
class PeerTransport(ABC):
    """Unreliable delivery of messages, in any order or not at all."""

    name: ClassVar[str]

    own: VoterId
    receivers: dict[str, Receiver] = field(factory=dict, init=False)

    @abstractmethod
    async def start(self) -> None:
        """Start to listen and to connect."""

    @abstractmethod
    async def stop(self) -> None:
        """Close every connection."""

    @abstractmethod
    def send(self, envelope: Envelope) -> None:
        """Send a message, or drop it if it cannot be sent soon."""

    @abstractmethod
    def is_connected(self, receiver: VoterId) -> bool:
        """Tell whether there is a connection to another process."""

    def get_any_own(self) -> VoterId:
        """Get the address of this process in any incarnation."""
        return get_address(get_process(self.own))

    def add_receiver(self, group: str, receiver: Receiver) -> None:
        """Deliver the messages of a group to a receiver."""
        self.receivers[group] = receiver

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message that is meant for this process."""
        receiver = self.receivers.get(envelope.group)
        is_own = envelope.receiver in {self.own, self.get_any_own()}
        if receiver is not None and is_own:
            receiver(envelope.sender, envelope.message)


@define(eq=False)
class LocalTransport(PeerTransport):
    """Transport of a process without others."""

    name: ClassVar[str] = 'local'

    async def start(self) -> None:
        """Start nothing."""

    async def stop(self) -> None:
        """Close nothing."""

    def send(self, envelope: Envelope) -> None:
        """Drop the message: there is no other process."""

    def is_connected(self, receiver: VoterId) -> bool:
        """Tell that there is no other process."""
        return False
