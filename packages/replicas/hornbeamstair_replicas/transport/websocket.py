"""Transport of CBOR messages between processes over websockets."""

from asyncio import Event, Task, create_task, gather, sleep, timeout
from collections import deque
from contextlib import suppress
from typing import ClassVar, Final

from attrs import define, field, frozen
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.events import log_event
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import MIB
from hornbeamstair_replicas.codec import decode_envelope, encode_envelope
from hornbeamstair_replicas.events import PeerRefusedEvent
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_replicas.transport.handshake import Handshake, make_nonce
from hornbeamstair_replicas.transport.resolvers import (
    FixedPeersResolver,
    PeerResolver,
)
from hornbeamstair_replicas.voter_ids import get_process

__all__ = ('PeerAddress', 'WebsocketTransport')

_MAX_MESSAGE_BYTES: Final = 4 * MIB
_MAX_QUEUED_MESSAGES: Final = 1024
_HANDSHAKE_TIMEOUT_SECONDS: Final = 1.0
_RECONNECT_SECONDS: Final = 0.2
# Short enough to replace a dead connection before a partition of a few seconds
# heals.
_PING_INTERVAL_SECONDS: Final = 0.5
_PONG_TIMEOUT_SECONDS: Final = 0.8
# A connection opened on demand is closed after this time without messages.
_IDLE_TIMEOUT_SECONDS: Final = 12.0
_CLIENT: Final = 'client'
_SERVER: Final = 'server'


@frozen
class PeerAddress:
    """Process identifier and listen address of another process."""

    process: ProcessId
    listen_address: SocketAddress


@define(eq=False)
class _PeerConnection:
    """Outgoing connection to one process and its queue of messages."""

    address: PeerAddress
    queue: 'deque[bytes]' = field(
        factory=lambda: deque(maxlen=_MAX_QUEUED_MESSAGES),
    )
    ready: Event = field(factory=Event)
    sender: 'Task[None] | None' = None
    is_permanent: bool = True
    is_connected: bool = False
    last_used_at: float = 0


@define(eq=False)
class WebsocketTransport(PeerTransport):
    """Transport with one outgoing connection to each process.

    Messages are received over the connections that other processes open.
    """

    name: ClassVar[str] = 'websocket'

    listen_address: SocketAddress
    key: bytes
    metrics: Metrics
    resolver: PeerResolver = field(factory=FixedPeersResolver)
    peers: dict[ProcessId, _PeerConnection] = field(factory=dict)
    server: Server | None = None

    def add_peer(self, address: PeerAddress) -> None:
        """Add a process to which a permanent connection is kept."""
        self.peers[address.process] = _PeerConnection(address)

    async def start(self) -> None:
        """Start listening and connecting."""
        self.server = await serve(
            self._serve_connection,
            self.listen_address.address,
            self.listen_address.port,
            max_size=_MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=_PING_INTERVAL_SECONDS,
            ping_timeout=_PONG_TIMEOUT_SECONDS,
        )
        for peer in self.peers.values():
            peer.sender = create_task(self._run_connection(peer))

    async def stop(self) -> None:
        """Close every connection."""
        senders = [peer.sender for peer in self.peers.values() if peer.sender]
        for task in senders:
            task.cancel()
        await gather(*senders, return_exceptions=True)
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    def send(self, envelope: Envelope) -> None:
        """Queue a message; a full queue drops its oldest message."""
        peer = self._find_peer(get_process(envelope.receiver))
        if peer is None:
            return
        peer.last_used_at = get_monotonic_time()
        if len(peer.queue) == _MAX_QUEUED_MESSAGES:
            self.metrics.count_retry('peer_queue_full')
        peer.queue.append(encode_envelope(envelope))
        peer.ready.set()

    def is_connected(self, receiver: VoterId) -> bool:
        """Return whether there is a connection to another process."""
        peer = self.peers.get(get_process(receiver))
        return peer is not None and peer.is_connected

    def _find_peer(self, process: ProcessId) -> _PeerConnection | None:
        peer = self.peers.get(process)
        if peer is not None or process == get_process(self.own):
            return peer
        listener = self.resolver.find(process)
        if listener is None:
            return None
        peer = _PeerConnection(
            PeerAddress(process, listener),
            is_permanent=False,
        )
        self.peers[process] = peer
        peer.sender = create_task(self._run_on_demand(peer))
        return peer

    async def _run_on_demand(self, peer: _PeerConnection) -> None:
        try:
            await self._run_connection(peer)
        finally:
            self.peers.pop(peer.address.process, None)

    async def _run_connection(self, peer: _PeerConnection) -> None:
        listener = peer.address.listen_address
        while not _is_idle(peer):
            try:
                async with connect(
                    f'ws://{listener.address}:{listener.port}',
                    proxy=None,
                    compression=None,
                    max_size=_MAX_MESSAGE_BYTES,
                    open_timeout=_HANDSHAKE_TIMEOUT_SECONDS,
                    ping_interval=_PING_INTERVAL_SECONDS,
                    ping_timeout=_PONG_TIMEOUT_SECONDS,
                    close_timeout=_RECONNECT_SECONDS,
                ) as connection:
                    await self._send_queued(connection, peer)
            except (OSError, WebSocketException):
                self.metrics.count_retry('peer_reconnect')
            peer.is_connected = False
            # Messages that were queued for a lost connection are outdated.
            peer.queue.clear()
            await sleep(_RECONNECT_SECONDS)

    async def _send_queued(
        self,
        connection: ClientConnection,
        peer: _PeerConnection,
    ) -> None:
        if not await self._authenticate_as_client(connection):
            self._report_refusal(peer.address.process)
            return
        peer.is_connected = True
        while not _is_idle(peer):
            with suppress(TimeoutError):
                async with timeout(_IDLE_TIMEOUT_SECONDS):
                    await peer.ready.wait()
            peer.ready.clear()
            while peer.queue:
                await connection.send(peer.queue.popleft())

    async def _authenticate_as_client(
        self,
        connection: ClientConnection,
    ) -> bool:
        async with timeout(_HANDSHAKE_TIMEOUT_SECONDS):
            server_nonce = _get_bytes(await connection.recv())
            client_nonce = make_nonce()
            handshake = Handshake(self.key, client_nonce, server_nonce)
            await connection.send(client_nonce)
            await connection.send(handshake.prove(_CLIENT))
            proof = _get_bytes(await connection.recv())
        return handshake.check(_SERVER, proof)

    async def _serve_connection(self, connection: ServerConnection) -> None:
        try:
            if await self._authenticate_as_server(connection):
                await self._deliver_messages(connection)
            else:
                self._report_refusal(str(connection.remote_address))
        except (TimeoutError, ConnectionClosed):
            return

    async def _authenticate_as_server(
        self,
        connection: ServerConnection,
    ) -> bool:
        async with timeout(_HANDSHAKE_TIMEOUT_SECONDS):
            server_nonce = make_nonce()
            await connection.send(server_nonce)
            client_nonce = _get_bytes(await connection.recv())
            handshake = Handshake(self.key, client_nonce, server_nonce)
            proof = _get_bytes(await connection.recv())
            if not handshake.check(_CLIENT, proof):
                return False
            await connection.send(handshake.prove(_SERVER))
        return True

    async def _deliver_messages(self, connection: ServerConnection) -> None:
        async for payload in connection:
            envelope = decode_envelope(_get_bytes(payload))
            if envelope.is_error():
                self.metrics.count_refusal(envelope.error)
                return
            self.deliver(envelope.ok)

    def _report_refusal(self, name: str) -> None:
        self.metrics.count_retry('peer_refused')
        log_event(PeerRefusedEvent(name))


def _is_idle(peer: _PeerConnection) -> bool:
    if peer.is_permanent:
        return False
    return get_monotonic_time() - peer.last_used_at >= _IDLE_TIMEOUT_SECONDS


def _get_bytes(payload: bytes | str) -> bytes:
    return payload if isinstance(payload, bytes) else payload.encode()
