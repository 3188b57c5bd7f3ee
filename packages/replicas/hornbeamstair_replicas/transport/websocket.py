"""Transport of CBOR messages between processes over websockets."""

from asyncio import create_task, gather, sleep
from typing import ClassVar, Final

from attrs import Factory, define, field
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.limits import MAX_MESSAGE_BYTES
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.accepted import (
    ACCEPTED_PING_SECONDS,
    ANSWERS,
    UNAUTHENTICATED_BYTES,
    AcceptedConnections,
    decode_payload,
    report_refusal,
    select_subprotocol,
)
from hornbeamstair_replicas.transport.authentication import (
    authenticate_as_client,
)
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_replicas.transport.outbox import Outbox
from hornbeamstair_replicas.transport.peer_connection import (
    IDLE_TIMEOUT_SECONDS,
    PeerAddress,
    PeerConnection,
)
from hornbeamstair_replicas.transport.posting import Posting
from hornbeamstair_replicas.transport.resolvers import (
    FixedPeersResolver,
    PeerResolver,
)
from hornbeamstair_replicas.voter_ids import get_process

__all__ = ('WebsocketTransport',)

_OPEN_TIMEOUT_SECONDS: Final = 1.0
_RECONNECT_SECONDS: Final = 0.2
# Short enough to replace a dead connection before a partition of a few seconds
# heals.
_PING_INTERVAL_SECONDS: Final = 0.5
_PONG_TIMEOUT_SECONDS: Final = 0.8


def _make_accepted(transport: 'WebsocketTransport') -> AcceptedConnections:
    return AcceptedConnections(transport, transport.key, transport.metrics)


@define(eq=False)
class WebsocketTransport(PeerTransport):
    """Transport with one outgoing connection to each process.

    Messages are received over the connections that other processes open, and
    answers also over the own ones.
    """

    name: ClassVar[str] = 'websocket'

    listen_address: SocketAddress
    key: bytes
    metrics: Metrics
    resolver: PeerResolver = field(factory=FixedPeersResolver)
    peers: dict[ProcessId, PeerConnection] = field(factory=dict)
    accepted: AcceptedConnections = field(
        default=Factory(_make_accepted, takes_self=True),
        init=False,
    )
    server: Server | None = None

    def add_peer(self, address: PeerAddress) -> None:
        """Add a process to which a permanent connection is kept."""
        self.peers[address.process] = PeerConnection(
            address, Outbox(self.metrics)
        )

    async def start(self) -> None:
        """Start listening and connecting."""
        self.server = await serve(
            self.accepted.serve,
            self.listen_address.address,
            self.listen_address.port,
            max_size=UNAUTHENTICATED_BYTES,
            compression=None,
            subprotocols=[ANSWERS],
            select_subprotocol=select_subprotocol,
            ping_interval=ACCEPTED_PING_SECONDS,
            ping_timeout=ACCEPTED_PING_SECONDS,
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
        self.post(envelope)

    def post(self, envelope: Envelope) -> Posting:
        """Queue a message that can be withdrawn until it is written."""
        peer = self._find_peer(get_process(envelope.receiver))
        if peer is None:
            return Posting()
        peer.last_used_at = get_monotonic_time()
        return peer.outbox.put_envelope(envelope)

    def answer(self, envelope: Envelope) -> None:
        """Send an answer over the connection of its question, if it is open.

        Without it, the process that answers opens a connection to each one
        that asks.
        """
        outbox = self.accepted.find(get_process(envelope.receiver))
        if outbox is None:
            self.send(envelope)
        else:
            outbox.put_envelope(envelope)

    def is_connected(self, receiver: VoterId) -> bool:
        """Return whether there is a connection to another process."""
        peer = self.peers.get(get_process(receiver))
        return peer is not None and peer.is_connected

    def _find_peer(self, process: ProcessId) -> PeerConnection | None:
        peer = self.peers.get(process)
        if peer is not None or process == get_process(self.own):
            return peer
        listener = self.resolver.find(process)
        if listener is None:
            return None
        peer = PeerConnection(
            PeerAddress(process, listener),
            Outbox(self.metrics),
            is_permanent=False,
        )
        self.peers[process] = peer
        peer.sender = create_task(self._run_on_demand(peer))
        return peer

    async def _run_on_demand(self, peer: PeerConnection) -> None:
        try:
            await self._run_connection(peer)
        finally:
            self.peers.pop(peer.address.process, None)

    async def _run_connection(self, peer: PeerConnection) -> None:
        listener = peer.address.listen_address
        while not peer.is_idle(get_monotonic_time()):
            try:
                async with connect(
                    f'ws://{listener.address}:{listener.port}',
                    proxy=None,
                    compression=None,
                    subprotocols=[ANSWERS],
                    max_size=MAX_MESSAGE_BYTES,
                    open_timeout=_OPEN_TIMEOUT_SECONDS,
                    ping_interval=_PING_INTERVAL_SECONDS,
                    ping_timeout=_PONG_TIMEOUT_SECONDS,
                    close_timeout=_RECONNECT_SECONDS,
                ) as connection:
                    await self._send_queued(connection, peer)
            except (OSError, WebSocketException):
                self.metrics.count_retry('peer_reconnect')
            peer.is_connected = False
            # Messages that were queued for a lost connection are outdated.
            peer.outbox.queue.clear()
            await sleep(_RECONNECT_SECONDS)

    async def _send_queued(
        self,
        connection: ClientConnection,
        peer: PeerConnection,
    ) -> None:
        if not await authenticate_as_client(connection, self.key):
            report_refusal(self.metrics, peer.address.process)
            return
        peer.is_connected = True
        receiving = create_task(self._receive_answers(connection, peer))
        try:
            while not (peer.is_idle(get_monotonic_time()) or receiving.done()):
                await peer.outbox.wait(IDLE_TIMEOUT_SECONDS)
                await peer.outbox.send_queued(connection)
        finally:
            receiving.cancel()

    async def _receive_answers(
        self,
        connection: ClientConnection,
        peer: PeerConnection,
    ) -> None:
        try:
            async for payload in connection:
                envelope = decode_payload(self.metrics, payload)
                if envelope is None:
                    return
                self.deliver(envelope)
        except ConnectionClosed:
            self.metrics.count_retry('peer_closed')
        finally:
            # The connection is closed: open another one at once.
            peer.outbox.wake()
