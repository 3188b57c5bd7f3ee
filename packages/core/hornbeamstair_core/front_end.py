"""Base classes of the front ends, in general and over HTTP."""

from abc import ABC, abstractmethod
from asyncio import Event as Signal
from asyncio import Task, create_task
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from typing import ClassVar, Final

from attrs import define, field, frozen
from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.types import ASGIApp, Receive, Scope, Send
from uvicorn import Config, Server

from hornbeamstair_core.events import (
    Event,
    EventLevel,
    log_event,
    register_event,
)
from hornbeamstair_core.failures import Failure, PayloadTooLargeFailure
from hornbeamstair_core.front_ends.bounded_protocol import (
    REFUSAL,
    BoundedHttpProtocol,
)
from hornbeamstair_core.front_ends.guard import ClientGuard
from hornbeamstair_core.invariants import InvariantError, abort

__all__ = (
    'FrontEnd',
    'HttpFrontEnd',
    'SocketAddress',
    'RequestFailedEvent',
    'read_body',
)

_LISTEN_BACKLOG: Final = 1024


@frozen
class SocketAddress:
    """IP address and port on which a process listens."""

    address: str
    port: int


class FrontEnd(ABC):
    """Server of one protocol, which passes requests to decision logic."""

    name: ClassVar[str]

    @abstractmethod
    async def start(self) -> None:
        """Start listening; raise OSError if the address is in use."""

    @abstractmethod
    async def stop(self) -> None:
        """Finish the requests in progress and close."""


@register_event
@frozen
class RequestFailedEvent(Event):
    """Request that failed with an internal error."""

    number = 1002
    name = 'request_failed'
    summary = 'A request failed with an internal error.'
    level = EventLevel.error

    path: str
    reason: str


@frozen
class _ErrorHandlingApp:
    """ASGI application that logs errors and aborts on violated invariants."""

    app: ASGIApp

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        try:
            await self.app(scope, receive, send)
        except InvariantError:
            abort()
        except ClientDisconnect:
            return
        except Exception as error:
            log_event(RequestFailedEvent(scope['path'], repr(error)))
            raise


class _EmbeddedServer(Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    def __init__(self, config: Config) -> None:
        """Create a server with an event that is set once it listens."""
        super().__init__(config)
        self.listening = Signal()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield

    async def startup(self, sockets: list[socket] | None = None) -> None:
        """Start listening and set the event."""
        await super().startup(sockets)
        self.listening.set()


@define
class HttpFrontEnd(FrontEnd):
    """Front end over HTTP on the event loop of the process."""

    # Time after which an idle connection is closed.
    keep_alive_seconds: ClassVar[int] = 5

    listen_address: SocketAddress
    # Shared by the front ends of a process.
    guard: ClientGuard = field(factory=ClientGuard, kw_only=True)
    server: _EmbeddedServer | None = field(default=None, init=False)
    serving: 'Task[None] | None' = field(default=None, init=False)

    @abstractmethod
    def get_app(self) -> ASGIApp:
        """Get the ASGI application that handles requests."""

    async def start(self) -> None:
        """Start listening; raise OSError if the address is in use."""
        listening_socket = _bind(self.listen_address)
        self.server = _EmbeddedServer(
            Config(
                _ErrorHandlingApp(self.get_app()),
                interface='asgi3',
                # Uvicorn calls this as it would the class.
                http=partial(  # type: ignore[arg-type]
                    BoundedHttpProtocol, guard=self.guard
                ),
                ws='none',
                loop='asyncio',
                lifespan='off',
                log_config=None,
                timeout_keep_alive=self.keep_alive_seconds,
                access_log=False,
                proxy_headers=False,
                server_header=False,
            ),
        )
        self.serving = create_task(
            self.server.serve(sockets=[listening_socket])
        )
        await self.server.listening.wait()

    async def stop(self) -> None:
        """Finish the requests in progress and close."""
        if self.server is not None and self.serving is not None:
            self.server.should_exit = True
            await self.serving


async def read_body(
    request: Request,
    limit_bytes: int,
) -> Result[bytes, Failure]:
    """Read the body of a request; fail if it is refused or too large."""
    chunks = bytearray()
    has_more = True
    while has_more:
        message = await request.receive()
        refusal = request.scope.get('state', {}).get(REFUSAL)
        if refusal is not None:
            return Error(refusal)
        if message['type'] == 'http.disconnect':
            raise ClientDisconnect
        chunks += message.get('body', b'')
        if len(chunks) > limit_bytes:
            return Error(PayloadTooLargeFailure(limit_bytes))
        has_more = message.get('more_body', False)
    return Ok(bytes(chunks))


def _bind(socket_address: SocketAddress) -> socket:
    family = AF_INET6 if ':' in socket_address.address else AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name their protocol.
    listening_socket = socket(family, SOCK_STREAM, IPPROTO_TCP)
    listening_socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listening_socket.bind((socket_address.address, socket_address.port))
    listening_socket.listen(_LISTEN_BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket
