"""Connections that other processes open, and answers over them."""

from asyncio import create_task
from collections.abc import Sequence
from contextlib import suppress
from typing import Final

from attrs import define, field
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed
from websockets.typing import Subprotocol

from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import KIB
from hornbeamstair_replicas.codec import decode_envelope
from hornbeamstair_replicas.events import PeerRefusedEvent
from hornbeamstair_replicas.limits import MAX_MESSAGE_BYTES
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.authentication import (
    authenticate_as_server,
    get_bytes,
)
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_replicas.transport.outbox import Outbox
from hornbeamstair_replicas.voter_ids import get_process

__all__ = (
    'ACCEPTED_PING_SECONDS',
    'ANSWERS',
    'AcceptedConnections',
    'UNAUTHENTICATED_BYTES',
    'decode_payload',
    'report_refusal',
    'select_subprotocol',
)

# The process that opened a connection detects first that it is dead; at this
# end a dead connection only takes memory.
ACCEPTED_PING_SECONDS: Final = 10.0
# Largest message of a client that has not proved the key: nonces and proofs.
UNAUTHENTICATED_BYTES: Final = KIB
# A process that offers this subprotocol receives answers over the connections
# that it opened.
ANSWERS: Final = Subprotocol('hornbeamstair-answers')


@define(eq=False)
class AcceptedConnections:
    """Receives the messages of other processes, and sends them answers."""

    transport: PeerTransport
    key: bytes
    metrics: Metrics
    # Answers to each process, over the connection that it used last.
    outboxes: dict[ProcessId, Outbox] = field(factory=dict)

    def find(self, process: ProcessId) -> Outbox | None:
        """Find the queue of the answers to a process that is connected."""
        return self.outboxes.get(process)

    async def serve(self, connection: ServerConnection) -> None:
        """Serve a connection until it is closed."""
        try:
            if await authenticate_as_server(connection, self.key):
                connection.protocol.max_message_size = MAX_MESSAGE_BYTES
                await self._serve_messages(connection)
            else:
                report_refusal(self.metrics, str(connection.remote_address))
        except (TimeoutError, ConnectionClosed):
            return

    async def _serve_messages(self, connection: ServerConnection) -> None:
        outbox = Outbox(self.metrics)
        sending = create_task(_send_answers(outbox, connection))
        try:
            async for payload in connection:
                envelope = decode_payload(self.metrics, payload)
                if envelope is None:
                    return
                # Processes of earlier versions read no answers.
                if connection.subprotocol == ANSWERS:
                    self.outboxes[get_process(envelope.sender)] = outbox
                self.transport.deliver(envelope)
        finally:
            sending.cancel()
            self.outboxes = {
                process: other
                for process, other in self.outboxes.items()
                if other is not outbox
            }


def decode_payload(metrics: Metrics, payload: bytes | str) -> Envelope | None:
    """Decode a received message; None if it cannot be read."""
    envelope = decode_envelope(get_bytes(payload))
    if envelope.is_error():
        metrics.count_refusal(envelope.error)
        return None
    return envelope.ok


def report_refusal(metrics: Metrics, name: str) -> None:
    """Report a process that does not know the shared key."""
    metrics.count_retry('peer_refused')
    log_event(PeerRefusedEvent(name))


def select_subprotocol(
    connection: ServerConnection,
    offered: Sequence[Subprotocol],
) -> Subprotocol | None:
    """Select the subprotocol, if a process offers it."""
    return ANSWERS if ANSWERS in offered else None


async def _send_answers(outbox: Outbox, connection: ServerConnection) -> None:
    with suppress(ConnectionClosed):
        while True:
            await outbox.wait(ACCEPTED_PING_SECONDS)
            await outbox.send_queued(connection)
