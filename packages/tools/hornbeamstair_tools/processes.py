"""Start and stop of hornbeamstair programs on loopback."""

import sys
from asyncio import sleep
from asyncio.subprocess import PIPE, Process, create_subprocess_exec
from contextlib import suppress
from ctypes import CDLL
from itertools import cycle, islice
from os import getpid
from pathlib import Path
from signal import SIGKILL, SIGTERM
from socket import socket
from typing import Any, Final

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from attrs import define, field, frozen
from yaml import safe_dump

from hornbeamstair_tools.usage import ProcessUsage, get_usage

__all__ = (
    'CommandAnswer',
    'DaemonProcess',
    'TOKEN',
    'die_with_parent',
    'get_free_port',
    'run_command',
)

TOKEN: Final = 'loopback-demo-token'
# Below the ports that the kernel gives to outgoing connections.
_PORTS: Final = range(20000, 32000)
_STRIDE: Final = 97
_READY_SECONDS: Final = 0.05
_READY_TRIES: Final = 200
# From prctl(2).
_SET_PARENT_DEATH_SIGNAL: Final = 1

# Processes that run at once start far apart.
_ports: Final = islice(cycle(_PORTS), getpid() * _STRIDE % len(_PORTS), None)


def get_free_port() -> int:
    """Get a port of loopback that is free and that no connection takes."""
    while True:
        port = next(_ports)
        with socket() as probe, suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port


def die_with_parent() -> None:
    """Have this process end with the one that started it.

    Called between fork and exec, so that a tool that is killed leaves no
    process behind.
    """
    CDLL(None).prctl(_SET_PARENT_DEATH_SIGNAL, SIGKILL)


@frozen
class CommandAnswer:
    """Exit code and output of a command."""

    exit_code: int
    output: str
    errors: str


@define(eq=False)
class DaemonProcess:
    """Daemon that runs as a process of its own."""

    folder: Path
    process_name: str = 'entry-1'
    callers_port: int = field(factory=get_free_port)
    upstreams_port: int = field(factory=get_free_port)
    operators_port: int = field(factory=get_free_port)
    settings: dict[str, Any] = field(factory=dict)
    zone: str = 'local'
    bootstrap: bool = False
    process: Process | None = None

    @property
    def callers_url(self) -> str:
        """Address for callers."""
        return f'http://127.0.0.1:{self.callers_port}'

    @property
    def upstreams_url(self) -> str:
        """Address for upstreams."""
        return f'http://127.0.0.1:{self.upstreams_port}'

    @property
    def operators_url(self) -> str:
        """Address for operators."""
        return f'http://127.0.0.1:{self.operators_port}'

    def write_settings(self) -> Path:
        """Write the settings file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / 'settings.yaml'
        settings = {
            'process': self.process_name,
            'zone': self.zone,
            'data_folder': str(self.folder / 'data'),
            'operators_token': TOKEN,
            'json_logs': True,
            'balancer_seconds': 0,
            'listen': {
                'callers': _get_listener(self.callers_port),
                'upstreams': _get_listener(self.upstreams_port),
                'operators': _get_listener(self.operators_port),
            },
            **self.settings,
        }
        path.write_text(safe_dump(settings), encoding='utf-8')
        return path

    async def start(self) -> None:
        """Start the daemon and wait until it is ready."""
        path = self.write_settings()
        with (self.folder / 'log').open('ab') as log:
            self.process = await create_subprocess_exec(
                sys.executable,
                '-m',
                'hornbeamstair_daemon',
                '--settings',
                str(path),
                *(['--bootstrap'] if self.bootstrap else []),
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self.bootstrap = False
        await self._wait_ready()

    async def stop(self) -> int:
        """Ask the daemon to stop and return its exit code."""
        return await self._end(SIGTERM)

    async def kill(self) -> int:
        """Kill the daemon."""
        return await self._end(SIGKILL)

    async def run_client(self, *words: str) -> CommandAnswer:
        """Run the command line against this daemon."""
        return await run_command(
            'hornbeamstair_operators',
            '--server',
            self.operators_url,
            '--token',
            TOKEN,
            *words,
        )

    def get_usage(self) -> ProcessUsage:
        """Get the processor time and memory that the daemon used."""
        if self.process is None:
            raise RuntimeError('the daemon does not run')
        return get_usage(self.process.pid)

    async def _wait_ready(self) -> None:
        async with HTTPClient() as client:
            for _ in range(_READY_TRIES):
                await sleep(_READY_SECONDS)
                try:
                    await client.get(f'{self.callers_url}/-/ready')
                except (OSError, AiosonicError):
                    continue
                return
        raise TimeoutError('the daemon did not become ready')

    async def _end(self, signal: int) -> int:
        if self.process is None:
            return 0
        self.process.send_signal(signal)
        exit_code = await self.process.wait()
        self.process = None
        return exit_code


async def run_command(module: str, *words: str) -> CommandAnswer:
    """Run a module as a command."""
    process = await create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *words,
        stdout=PIPE,
        stderr=PIPE,
    )
    output, errors = await process.communicate()
    return CommandAnswer(
        process.returncode or 0, output.decode(), errors.decode()
    )


def _get_listener(port: int) -> dict[str, Any]:
    return {'address': '127.0.0.1', 'port': port}
