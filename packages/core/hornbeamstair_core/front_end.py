"""Front ends: the base class and what those over HTTP share."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, Task, create_task
from asyncio import Event as Signal
from collections.abc import Iterator
from contextlib import contextmanager
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
from hornbeamstair_core.invariants import InvariantError, abort

__all__ = (
    'FrontEnd',
    'HttpFrontEnd',
    'Listener',
    'RequestFailedEvent',
    'read_body',
)

_BACKLOG: Final = 1024


@frozen
class Listener:
    """Address and port on which a front end listens."""

    address: str
    port: int


class FrontEnd(ABC):
    """Protocol through which a peer reaches the decisions."""

    name: ClassVar[str]

    @abstractmethod
    async def start(self) -> None:
        """Start to listen; OSError if the address is taken."""

    @abstractmethod
    async def stop(self) -> None:
        """Finish the requests in progress and close."""


@register_event
@frozen
class RequestFailedEvent(Event):
    """Request that met an error of the program."""

    number = 1002
    name = 'request_failed'
    summary = 'A request met an internal error.'
    level = EventLevel.error

    path: str
    reason: str


@frozen
class _GuardedApp:
    """Application that logs its errors and stops on broken invariants."""

    app: ASGIApp

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer one request."""
        try:
            await self.app(scope, receive, send)
        except InvariantError:
            abort()
        except (ClientDisconnect, CancelledError):
            raise
        except Exception as error:
            log_event(RequestFailedEvent(scope['path'], repr(error)))
            raise


class _EmbeddedServer(Server):
    """Server that leaves signals to the daemon."""

    def __init__(self, config: Config) -> None:
        """Create a server that tells when it listens."""
        super().__init__(config)
        self.listening = Signal()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield

    async def startup(self, sockets: list[socket] | None = None) -> None:
        """Start to listen and tell so."""
        await super().startup(sockets)
        self.listening.set()


@define
class HttpFrontEnd(FrontEnd):
    """Front end over HTTP on the loop of the process."""

    # Seconds that a connection without a request stays open.
    keep_alive_seconds: ClassVar[int] = 5

    listener: Listener
    server: _EmbeddedServer | None = field(default=None, init=False)
    serving: 'Task[None] | None' = field(default=None, init=False)

    @abstractmethod
    def get_app(self) -> ASGIApp:
        """Get the application that answers requests."""

    async def start(self) -> None:
        """Start to listen; OSError if the address is taken."""
        bound = _bind(self.listener)
        self.server = _EmbeddedServer(
            Config(
                _GuardedApp(self.get_app()),
                interface='asgi3',
                http='httptools',
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
        self.serving = create_task(self.server.serve(sockets=[bound]))
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
    """Read a request's body up to a limit."""
    chunks = bytearray()
    async for chunk in request.stream():
        chunks += chunk
        if len(chunks) > limit_bytes:
            return Error(PayloadTooLargeFailure(limit_bytes))
    return Ok(bytes(chunks))


def _bind(listener: Listener) -> socket:
    family = AF_INET6 if ':' in listener.address else AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name their protocol.
    bound = socket(family, SOCK_STREAM, IPPROTO_TCP)
    bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    bound.bind((listener.address, listener.port))
    bound.listen(_BACKLOG)
    bound.setblocking(False)
    return bound
