"""Queue of the messages to one process."""

from asyncio import Event, timeout
from collections import deque
from contextlib import suppress
from typing import Final

from attrs import define, field
from websockets.asyncio.connection import Connection

from hornbeamstair_core.events import log_event
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.codec import encode_envelope
from hornbeamstair_replicas.events import MessageTooLargeEvent
from hornbeamstair_replicas.limits import MAX_MESSAGE_BYTES
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.posting import Posting

__all__ = ('Outbox',)

_MAX_QUEUED_MESSAGES: Final = 1024


@define(eq=False)
class Outbox:
    """Bounded queue of encoded messages; a full one drops its oldest."""

    metrics: Metrics
    queue: 'deque[Posting]' = field(
        factory=lambda: deque(maxlen=_MAX_QUEUED_MESSAGES),
    )
    ready: Event = field(factory=Event)

    def put_envelope(self, envelope: Envelope) -> Posting:
        """Queue a message, unless it is larger than its receiver accepts.

        The receiver would close the connection, and lose the other messages.
        """
        posting = Posting(encode_envelope(envelope))
        if len(posting.payload) <= MAX_MESSAGE_BYTES:
            self.put(posting)
            return posting
        self.metrics.count_retry('peer_message_too_large')
        log_event(
            MessageTooLargeEvent(
                envelope.message.kind,
                envelope.receiver,
                len(posting.payload),
            ),
        )
        return posting

    def put(self, posting: Posting) -> None:
        """Queue a message."""
        if len(self.queue) == _MAX_QUEUED_MESSAGES:
            self.metrics.count_retry('peer_queue_full')
        self.queue.append(posting)
        self.ready.set()

    def wake(self) -> None:
        """End the wait for a message."""
        self.ready.set()

    async def wait(self, seconds: float) -> None:
        """Wait for a message, or to be woken, for at most some seconds."""
        with suppress(TimeoutError):
            async with timeout(seconds):
                await self.ready.wait()

    async def send_queued(self, connection: Connection) -> None:
        """Send the queued messages; raise ConnectionClosed if it is closed."""
        self.ready.clear()
        while self.queue:
            posting = self.queue.popleft()
            if posting.begin_write():
                await connection.send(posting.payload)
