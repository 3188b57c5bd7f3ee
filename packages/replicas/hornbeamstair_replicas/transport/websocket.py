"""Transport over websockets with CBOR between processes."""

from asyncio import Event, Task, create_task, gather, sleep, timeout
from collections import deque
from contextlib import suppress
from typing import ClassVar, Final

from attrs import define, field, frozen
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from hornbeamstair_core.clock import get_steady_time
from hornbeamstair_core.events import log_event
from hornbeamstair_core.front_end import Listener
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import MIB
from hornbeamstair_replicas.codec import read_envelope, write_envelope
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
_MAX_QUEUED: Final = 1024
_HANDSHAKE_SECONDS: Final = 1.0
_REOPEN_SECONDS: Final = 0.2
# A silent connection is reopened before a cut of some seconds is over.
_PING_SECONDS: Final = 0.5
_PONG_SECONDS: Final = 0.8
# A connection opened on demand ends when nothing was sent for so long.
_IDLE_SECONDS: Final = 12.0
_CLIENT: Final = 'client'
_SERVER: Final = 'server'


@frozen
class PeerAddress:
    """Address of another process."""

    process: ProcessId
    listener: Listener


@define(eq=False)
class _Link:
    """Messages that wait for the connection to one process."""

    address: PeerAddress
    queue: 'deque[bytes]' = field(factory=lambda: deque(maxlen=_MAX_QUEUED))
    ready: Event = field(factory=Event)
    sending: 'Task[None] | None' = None
    is_permanent: bool = True
    is_connected: bool = False
    used_at: float = 0


@define(eq=False)
class WebsocketTransport(PeerTransport):
    """One connection to each process for what is sent to it."""

    name: ClassVar[str] = 'websocket'

    listener: Listener
    key: bytes
    metrics: Metrics
    resolver: PeerResolver = field(factory=FixedPeersResolver)
    links: dict[ProcessId, _Link] = field(factory=dict)
    server: Server | None = None

    def add_peer(self, address: PeerAddress) -> None:
        """Keep a connection to a process."""
        self.links[address.process] = _Link(address)

    async def start(self) -> None:
        """Start to listen and to connect."""
        self.server = await serve(
            self._receive,
            self.listener.address,
            self.listener.port,
            max_size=_MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=_PING_SECONDS,
            ping_timeout=_PONG_SECONDS,
        )
        for link in self.links.values():
            link.sending = create_task(self._keep_sending(link))

    async def stop(self) -> None:
        """Close every connection."""
        sending = [link.sending for link in self.links.values() if link.sending]
        for task in sending:
            task.cancel()
        await gather(*sending, return_exceptions=True)
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    def send(self, envelope: Envelope) -> None:
        """Queue a message; the oldest is dropped from a full queue."""
        link = self._find_link(get_process(envelope.receiver))
        if link is None:
            return
        link.used_at = get_steady_time()
        if len(link.queue) == _MAX_QUEUED:
            self.metrics.count_retry('peer_queue_full')
        link.queue.append(write_envelope(envelope))
        link.ready.set()

    def is_connected(self, receiver: VoterId) -> bool:
        """Tell whether there is a connection to another process."""
        link = self.links.get(get_process(receiver))
        return link is not None and link.is_connected

    def _find_link(self, process: ProcessId) -> _Link | None:
        link = self.links.get(process)
        if link is not None or process == get_process(self.own):
            return link
        listener = self.resolver.find(process)
        if listener is None:
            return None
        link = _Link(PeerAddress(process, listener), is_permanent=False)
        self.links[process] = link
        link.sending = create_task(self._send_on_demand(link))
        return link

    async def _send_on_demand(self, link: _Link) -> None:
        try:
            await self._keep_sending(link)
        finally:
            self.links.pop(link.address.process, None)

    async def _keep_sending(self, link: _Link) -> None:
        listener = link.address.listener
        while not _is_idle(link):
            try:
                async with connect(
                    f'ws://{listener.address}:{listener.port}',
                    proxy=None,
                    compression=None,
                    max_size=_MAX_MESSAGE_BYTES,
                    open_timeout=_HANDSHAKE_SECONDS,
                    ping_interval=_PING_SECONDS,
                    ping_timeout=_PONG_SECONDS,
                    close_timeout=_REOPEN_SECONDS,
                ) as connection:
                    await self._send_all(connection, link)
            except (OSError, WebSocketException):
                self.metrics.count_retry('peer_reconnect')
            link.is_connected = False
            # What waited for a lost connection is out of date.
            link.queue.clear()
            await sleep(_REOPEN_SECONDS)

    async def _send_all(
        self,
        connection: ClientConnection,
        link: _Link,
    ) -> None:
        if not await self._prove_client(connection):
            self._refuse(link.address.process)
            return
        link.is_connected = True
        while not _is_idle(link):
            with suppress(TimeoutError):
                async with timeout(_IDLE_SECONDS):
                    await link.ready.wait()
            link.ready.clear()
            while link.queue:
                await connection.send(link.queue.popleft())

    async def _prove_client(self, connection: ClientConnection) -> bool:
        async with timeout(_HANDSHAKE_SECONDS):
            server_nonce = _get_bytes(await connection.recv())
            client_nonce = make_nonce()
            handshake = Handshake(self.key, client_nonce, server_nonce)
            await connection.send(client_nonce)
            await connection.send(handshake.prove(_CLIENT))
            proof = _get_bytes(await connection.recv())
        return handshake.check(_SERVER, proof)

    async def _receive(self, connection: ServerConnection) -> None:
        try:
            if await self._prove_server(connection):
                await self._receive_all(connection)
            else:
                self._refuse(str(connection.remote_address))
        except (TimeoutError, ConnectionClosed):
            return

    async def _prove_server(self, connection: ServerConnection) -> bool:
        async with timeout(_HANDSHAKE_SECONDS):
            server_nonce = make_nonce()
            await connection.send(server_nonce)
            client_nonce = _get_bytes(await connection.recv())
            handshake = Handshake(self.key, client_nonce, server_nonce)
            proof = _get_bytes(await connection.recv())
            if not handshake.check(_CLIENT, proof):
                return False
            await connection.send(handshake.prove(_SERVER))
        return True

    async def _receive_all(self, connection: ServerConnection) -> None:
        async for payload in connection:
            envelope = read_envelope(_get_bytes(payload))
            if envelope.is_error():
                self.metrics.count_refusal(envelope.error)
                return
            self.deliver(envelope.ok)

    def _refuse(self, peer: str) -> None:
        self.metrics.count_retry('peer_refused')
        log_event(PeerRefusedEvent(peer))


def _is_idle(link: _Link) -> bool:
    if link.is_permanent:
        return False
    return get_steady_time() - link.used_at >= _IDLE_SECONDS


def _get_bytes(payload: bytes | str) -> bytes:
    return payload if isinstance(payload, bytes) else payload.encode()
