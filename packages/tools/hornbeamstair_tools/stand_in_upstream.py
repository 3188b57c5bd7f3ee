"""Stand-in of an upstream: announces itself, counts and answers calls."""

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

_RENEW_SECONDS: Final = 0.4
_SILENT_SECONDS: Final = 3600


@define(eq=False)
class StandInUpstream:
    """Small HTTP server that plays one upstream on loopback."""

    upstream: str
    service: str
    announce_urls: list[str]
    zone: str = 'local'
    slots: int = 8
    delay_seconds: float = 0
    fault: Fault = Fault.none
    answer_body: bytes = b'done'
    echoes: bool = False
    incarnation: int = 1
    port: int = 0
    arrivals: Counter[str] = field(factory=Counter)
    in_progress: int = 0
    server: Server | None = None
    renewals: 'Task[None] | None' = None

    async def start(self) -> None:
        """Listen and announce until stopped."""
        self.server = await start_server(
            self._serve,
            '127.0.0.1',
            self.port,
            limit=2**20,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        await self.announce()
        self.renewals = create_task(self._renew())

    async def announce(self) -> list[int]:
        """Announce once to each process; return the statuses."""
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
        """Say that no new calls are wanted."""
        self.stop_renewals()
        await self._post(
            '/v1/departures',
            {'upstream': self.upstream, 'incarnation': self.incarnation},
        )

    def stop_renewals(self) -> None:
        """Let the lease lapse without a word."""
        if self.renewals is not None:
            self.renewals.cancel()

    async def stop(self) -> None:
        """Stop to listen."""
        self.stop_renewals()
        if self.server is not None:
            self.server.close()

    async def _renew(self) -> None:
        while True:
            await sleep(_RENEW_SECONDS)
            with suppress(OSError, AiosonicError):
                await self.announce()

    async def _post(self, path: str, document: dict[str, Any]) -> list[int]:
        statuses = []
        async with HTTPClient() as client:
            for url in self.announce_urls:
                answer = await client.post(f'{url}{path}', json=document)
                statuses.append(answer.status_code)
        return statuses

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            with suppress(IncompleteReadError, OSError, CancelledError):
                while await self._serve_call(reader, writer):
                    await writer.drain()
        finally:
            writer.close()

    async def _serve_call(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.lower(): text.strip()
            for name, _, text in map(_split_header, lines[1:])
        }
        length = int(headers.get('content-length', '0'))
        await reader.readexactly(length)
        key = headers.get('idempotency-key') or lines[0]
        if self.fault is not Fault.refuse_not_run:
            self.arrivals[key] += 1
        body = self.answer_body
        if self.echoes:
            body = lines[0].split()[1].encode()
        return await self._answer(writer, body)

    async def _answer(self, writer: StreamWriter, body: bytes) -> bool:
        self.in_progress += 1
        try:
            if self.delay_seconds:
                await sleep(self.delay_seconds)
            return await self._write_answer(writer, body)
        finally:
            self.in_progress -= 1

    async def _write_answer(self, writer: StreamWriter, body: bytes) -> bool:
        match self.fault:
            case Fault.silent:
                await sleep(_SILENT_SECONDS)
            case Fault.close_after_read:
                return False
            case Fault.half_answer:
                writer.write(_get_head('200 OK', len(body) + 1))
                writer.write(body)
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


def _split_header(line: str) -> tuple[str, str, str]:
    return line.partition(':')


def _get_head(status: str, length: int) -> bytes:
    return (
        f'HTTP/1.1 {status}\r\n'
        'content-type: text/plain\r\n'
        f'content-length: {length}\r\n\r\n'
    ).encode()
