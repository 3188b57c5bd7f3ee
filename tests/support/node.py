"""Process of the platform adapter that runs alone on loopback."""

import json
import os
import sys
from asyncio import open_connection, sleep, timeout
from asyncio.subprocess import Process, create_subprocess_exec
from pathlib import Path
from typing import Final

from attrs import define, field

from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.units import KIB
from hornbeamstair_tools.ports import get_free_port
from hornbeamstair_tools.processes import set_parent_death_signal

__all__ = (
    'Node',
    'count_descriptors',
    'get_peak_memory',
    'make_manifest',
    'request_status',
)

HTTP_OK: Final = 200
_LAUNCHER: Final = 'platform/launch.py'
_ADDRESS: Final = '127.0.0.1'
POLL_SECONDS: Final = 0.1
# Long enough for a busy machine; no check depends on it.
ANSWER_SECONDS: Final = 120.0

_SETTINGS: Final = """
node_name = "{role}-1"
zone = "z1"
ip = "{address}"
internal_ports = [{internal}, {internal}]
seed_nodes = ["{address}:{port}"]
bootstrap = true
data_dir = "{folder}"
[listen]
{listener} = "{address}:{port}"
[bounds]
hold_max_ms = 6000
stop_timeout_ms = 200
[client_limits]
head_bytes = 32768
unfinished_bytes = 8388608
connections = 100
"""


@define(eq=False)
class Node:
    """Process of one role with low limits of its clients."""

    role: str
    folder: Path
    internal_port: int = field(factory=get_free_port)
    port: int = field(factory=get_free_port)
    process: Process | None = None

    @property
    def address(self) -> SocketAddress:
        """Address for callers, or for workers and operators."""
        return SocketAddress(_ADDRESS, self.port)

    async def start(self) -> None:
        """Start the process and wait until it answers."""
        self.folder.mkdir(parents=True)
        settings = self.folder / 'node.toml'
        listener = 'frontend' if self.role == 'entry' else 'control_plane'
        settings.write_text(
            _SETTINGS.format(
                role=self.role,
                address=_ADDRESS,
                internal=self.internal_port,
                port=self.port,
                folder=self.folder / 'data',
                listener=listener,
            ),
        )
        (self.folder / 'data').mkdir()
        with (self.folder / 'log').open('ab') as log:
            self.process = await create_subprocess_exec(
                sys.executable,
                _LAUNCHER,
                self.role,
                stdout=log,
                stderr=log,
                env={**os.environ, 'HORNBEAMSTAIR_NODE_FILE': str(settings)},
                preexec_fn=set_parent_death_signal,
            )
        async with timeout(ANSWER_SECONDS):
            while await request_status(self.address) == 0:
                await sleep(POLL_SECONDS)

    async def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def make_manifest(count: int) -> bytes:
    """Make the document of a manifest with one service and many routes."""
    route = {
        'host': 'idle.example',
        'kind': 'unsafe',
        'timeout_ms': 3000,
        'completion_target_ms': 2500,
        'priority': 0,
        'service': 'fees',
        'max_attempts': 2,
        'stretch': 2,
    }
    routes = [
        {**route, 'name': f'r-{number}', 'path_prefix': f'/idle{number}/'}
        for number in range(count)
    ]
    service = {
        'name': 'fees',
        'health_path': '/healthz',
        'max_connections': 64,
        'protocol': 'h1',
        'tls': False,
        'admission_check': False,
        'standby': False,
    }
    return json.dumps(
        {'version': 1, 'routes': routes, 'services': [service]}
    ).encode()


async def request_status(
    address: SocketAddress,
    manifest: bytes = b'',
) -> int:
    """Return the status of an ordinary request; 0 without a response."""
    method = b'PUT' if manifest else b'GET'
    try:
        async with timeout(ANSWER_SECONDS):
            reader, writer = await open_connection(
                address.address, address.port
            )
            writer.write(
                b'%s /hornbeamstair/config HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\nContent-Length: %d\r\n\r\n%s'
                % (method, len(manifest), manifest)
            )
            response = await reader.read()
    except OSError:
        return 0
    writer.close()
    return int(response.split()[1]) if response else 0


def get_peak_memory(pid: int) -> int:
    """Return the highest resident memory of a process so far, in bytes."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) * KIB


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))
