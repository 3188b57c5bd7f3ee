"""Base class of the transports of messages to other processes."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar

from attrs import define, field

from hornbeamstair_core.step_failures import log_step_failure
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.transport.posting import Posting
from hornbeamstair_replicas.voter_ids import get_address, get_process

__all__ = ('LocalTransport', 'PeerTransport')

Receiver = Callable[[VoterId, PeerMessage], None]


@define(eq=False)
class PeerTransport(ABC):
    """Best-effort transport: messages may be reordered or lost."""

    name: ClassVar[str]

    own: VoterId
    receivers: dict[str, Receiver] = field(factory=dict, init=False)

    @abstractmethod
    async def start(self) -> None:
        """Start listening and connecting."""

    @abstractmethod
    async def stop(self) -> None:
        """Close every connection."""

    @abstractmethod
    def send(self, envelope: Envelope) -> None:
        """Send a message, or drop it if it cannot be sent soon."""

    def post(self, envelope: Envelope) -> Posting:
        """Send a message that can be withdrawn until it is written."""
        self.send(envelope)
        return Posting(is_written=True)

    def answer(self, envelope: Envelope) -> None:
        """Send an answer to a message that was just received."""
        self.send(envelope)

    @abstractmethod
    def is_connected(self, receiver: VoterId) -> bool:
        """Return whether there is a connection to another process."""

    def get_own_address(self) -> VoterId:
        """Get the identifier that addresses any incarnation of this process."""
        return get_address(get_process(self.own))

    def add_receiver(self, group: str, receiver: Receiver) -> None:
        """Register the receiver of the messages of a group."""
        self.receivers[group] = receiver

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message if it is addressed to this process.

        A message that its receiver cannot handle is logged and dropped.
        """
        receiver = self.receivers.get(envelope.group)
        is_addressed_here = envelope.receiver in {
            self.own,
            self.get_own_address(),
        }
        if receiver is None or not is_addressed_here:
            return
        try:
            receiver(envelope.sender, envelope.message)
        except Exception as error:
            log_step_failure(f'messages of {envelope.group}', error)


@define(eq=False)
class LocalTransport(PeerTransport):
    """Transport of a process that runs alone."""

    name: ClassVar[str] = 'local'

    async def start(self) -> None:
        """Do nothing: there is nothing to listen for."""

    async def stop(self) -> None:
        """Do nothing: there is no connection."""

    def send(self, envelope: Envelope) -> None:
        """Drop the message: there is no other process."""

    def is_connected(self, receiver: VoterId) -> bool:
        """Return False: there is no other process."""
        return False
