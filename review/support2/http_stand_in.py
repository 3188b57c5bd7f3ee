"""Minimal HTTP/1.1 server and client for the stand-ins of the review."""

import asyncio
import json


class Server:
    """Serves requests on one address; can fall silent or close."""

    def __init__(self, host, port, handle):
        self.host = host
        self.port = port
        self.handle = handle
        self.is_dark = False
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=256
        )

    def close(self):
        """Close the port and reset all channels, like a killed process."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, path, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, text = line.partition(':')
                        headers[name.strip().lower()] = text.strip()
                size = int(headers.get('content-length', '0'))
                body = await reader.readexactly(size) if size else b''
                if self.is_dark:
                    await asyncio.sleep(3600)
                status, answer = await self.handle(method, path, headers, body)
                if self.is_dark:
                    await asyncio.sleep(3600)
                payload = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(payload)}\r\n\r\n'.encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(host, port, method, path, body=None, headers=None, seconds=2.0):
    """Send one request on a new channel; status 0 without an answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                payload = b'' if body is None else (
                    body if isinstance(body, bytes) else json.dumps(body).encode()
                )
                lines = [f'{method} {path} HTTP/1.1']
                fields = {'Host': f'{host}:{port}', 'Connection': 'close'}
                fields.update(headers or {})
                if body is not None:
                    fields['Content-Type'] = 'application/json'
                fields['Content-Length'] = str(len(payload))
                lines += [f'{name}: {text}' for name, text in fields.items()]
                writer.write('\r\n'.join((*lines, '', '')).encode() + payload)
                await writer.drain()
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                status = int(head.split(' ', 2)[1])
                size = 0
                for line in head.split('\r\n'):
                    if line.lower().startswith('content-length:'):
                        size = int(line.split(':', 1)[1])
                answer = await reader.readexactly(size) if size else b''
                try:
                    return status, json.loads(answer) if answer else {}
                except ValueError:
                    return status, answer
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, None
