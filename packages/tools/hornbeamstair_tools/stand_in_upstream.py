"""Stand-in for an upstream: announces itself, counts and answers calls."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    sleep,
    start_server,
)
from collections import Counter
from contextlib import suppress
from typing import Any, Final

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from attrs import define, field

from hornbeamstair_tools.faults import Fault

__all__ = ('StandInUpstream',)

_RENEWAL_SECONDS: Final = 0.4
_NO_RESPONSE_SECONDS: Final = 3600
# Long enough that the client reads all bytes before it sees the close.
_LATE_CLOSE_SECONDS: Final = 0.3
_CHUNKED_HEAD: Final = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


@define(eq=False)
class StandInUpstream:
    """HTTP server on loopback that acts as one upstream."""

    upstream: str
    service: str
    announce_urls: list[str]
    zone: str = 'local'
    slots: int = 8
    delay_seconds: float = 0
    fault: Fault = Fault.none
    response_body: bytes = b'done'
    # Respond with the request target as the body.
    echoes: bool = False
    incarnation: int = 1
    port: int = 0
    # Calls by idempotency key, or by request line if they have no key.
    arrivals: Counter[str] = field(factory=Counter)
    in_progress: int = 0
    server: Server | None = None
    renewal_task: 'Task[None] | None' = None

    async def start(self) -> None:
        """Start to listen, announce once and renew in the background."""
        self.server = await start_server(
            self._handle_connection,
            '127.0.0.1',
            self.port,
            limit=2**20,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        await self.announce()
        self.renewal_task = create_task(self._renew_lease())

    async def announce(self) -> list[int]:
        """Announce once to each process and return the HTTP statuses."""
        return await self._post(
            '/v1/announcements',
            {
                'upstream': self.upstream,
                'service': self.service,
                'zone': self.zone,
                'address': '127.0.0.1',
                'port': self.port,
                'slots': self.slots,
                'connections': 64,
                'incarnation': self.incarnation,
            },
        )

    async def leave(self) -> None:
        """Stop the renewals and announce the departure."""
        self.stop_renewals()
        await self._post(
            '/v1/departures',
            {'upstream': self.upstream, 'incarnation': self.incarnation},
        )

    def stop_renewals(self) -> None:
        """Stop the renewals without a departure, so that the lease expires."""
        if self.renewal_task is not None:
            self.renewal_task.cancel()
            self.renewal_task = None

    async def renew(self) -> None:
        """Renew the lease now, unless the renewals were stopped."""
        if self.renewal_task is not None:
            with suppress(OSError, AiosonicError):
                await self.announce()

    async def stop(self) -> None:
        """Stop the renewals and close the server."""
        self.stop_renewals()
        if self.server is not None:
            self.server.close()

    async def _renew_lease(self) -> None:
        while True:
            await sleep(_RENEWAL_SECONDS)
            await self.renew()

    async def _post(self, path: str, json_body: dict[str, Any]) -> list[int]:
        statuses = []
        async with HTTPClient() as client:
            for url in self.announce_urls:
                response = await client.post(f'{url}{path}', json=json_body)
                statuses.append(response.status_code)
        return statuses

    async def _handle_connection(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        try:
            with suppress(IncompleteReadError, OSError, CancelledError):
                while await self._handle_call(reader, writer):
                    await writer.drain()
        finally:
            writer.close()

    async def _handle_call(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> bool:
        request_head = await reader.readuntil(b'\r\n\r\n')
        lines = request_head.decode('latin-1').split('\r\n')
        headers = {
            name.lower(): text.strip()
            for name, _, text in map(_split_header, lines[1:])
        }
        length = int(headers.get('content-length', '0'))
        await reader.readexactly(length)
        key = headers.get('idempotency-key') or lines[0]
        if self.fault is not Fault.refuse_not_run:
            self.arrivals[key] += 1
        body = self.response_body
        if self.echoes:
            body = lines[0].split()[1].encode()
        return await self._respond(writer, body)

    async def _respond(self, writer: StreamWriter, body: bytes) -> bool:
        self.in_progress += 1
        try:
            if self.delay_seconds:
                await sleep(self.delay_seconds)
            return await self._write_response(writer, body)
        finally:
            self.in_progress -= 1

    async def _write_response(self, writer: StreamWriter, body: bytes) -> bool:
        match self.fault:
            case Fault.silent:
                await sleep(_NO_RESPONSE_SECONDS)
            case Fault.close_after_read:
                return False
            case Fault.half_answer | Fault.late_close | Fault.no_last_chunk:
                await self._write_cut_response(writer, body)
                return False
            case Fault.fail_all:
                writer.write(_get_head('500 Internal Server Error', 0))
            case Fault.refuse_not_run:
                writer.write(
                    b'HTTP/1.1 503 Service Unavailable\r\n'
                    b'hornbeamstair-not-run: true\r\n'
                    b'content-length: 0\r\n\r\n',
                )
            case _:
                writer.write(
                    _get_head('200 OK', len(body)) + body,
                )
        return True

    async def _write_cut_response(
        self,
        writer: StreamWriter,
        body: bytes,
    ) -> None:
        if self.fault is Fault.no_last_chunk:
            writer.write(_CHUNKED_HEAD + b'%x\r\n' % len(body) + body)
            writer.write(b'\r\n')
            return
        writer.write(_get_head('200 OK', len(body) + 1))
        writer.write(body)
        if self.fault is Fault.late_close:
            await writer.drain()
            await sleep(_LATE_CLOSE_SECONDS)


def _split_header(line: str) -> tuple[str, str, str]:
    return line.partition(':')


def _get_head(status: str, length: int) -> bytes:
    return (
        f'HTTP/1.1 {status}\r\n'
        'content-type: text/plain\r\n'
        f'content-length: {length}\r\n\r\n'
    ).encode()
