"""Child processes: daemons on loopback and command line runs."""

import sys
from asyncio import sleep
from asyncio.subprocess import PIPE, Process, create_subprocess_exec
from ctypes import CDLL
from pathlib import Path
from signal import SIGKILL, SIGTERM
from typing import Any, Final

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from attrs import define, field, frozen
from yaml import safe_dump

from hornbeamstair_tools.ports import get_free_port
from hornbeamstair_tools.usage import ProcessUsage, get_usage

__all__ = (
    'CommandResult',
    'DaemonProcess',
    'OPERATORS_TOKEN',
    'set_parent_death_signal',
    'run_command',
)

OPERATORS_TOKEN: Final = 'loopback-demo-token'
_READY_POLL_SECONDS: Final = 0.05
_READY_ATTEMPTS: Final = 200
# Last lines of the log of a daemon that ended, which tell why.
_REPORTED_LINES: Final = 5
# Value of PR_SET_PDEATHSIG, see prctl(2).
_PR_SET_PDEATHSIG: Final = 1


def set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent ends.

    Runs in the child between fork and exec, so that a killed tool leaves no
    child process behind.
    """
    CDLL(None).prctl(_PR_SET_PDEATHSIG, SIGKILL)


@frozen
class CommandResult:
    """Exit code, standard output and standard error of a command."""

    exit_code: int
    output: str
    errors: str


@define(eq=False)
class DaemonProcess:
    """Daemon that runs as a child process."""

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
        """Base URL for callers."""
        return f'http://127.0.0.1:{self.callers_port}'

    @property
    def upstreams_url(self) -> str:
        """Base URL for upstreams."""
        return f'http://127.0.0.1:{self.upstreams_port}'

    @property
    def operators_url(self) -> str:
        """Base URL for operators."""
        return f'http://127.0.0.1:{self.operators_port}'

    @property
    def log_path(self) -> Path:
        """File to which the daemon writes its log."""
        return self.folder / 'log'

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / 'settings.yaml'
        settings = {
            'process': self.process_name,
            'zone': self.zone,
            'data_folder': str(self.folder / 'data'),
            'operators_token': OPERATORS_TOKEN,
            'json_logs': True,
            'balancer_seconds': 0,
            'listen': {
                'callers': _make_listen_settings(self.callers_port),
                'upstreams': _make_listen_settings(self.upstreams_port),
                'operators': _make_listen_settings(self.operators_port),
            },
            **self.settings,
        }
        path.write_text(safe_dump(settings), encoding='utf-8')
        return path

    async def start(self) -> None:
        """Start the daemon and wait until ready.

        Raise RuntimeError if it ends before, TimeoutError if it is too late.
        """
        path = self.write_settings()
        with self.log_path.open('ab') as log:
            self.process = await create_subprocess_exec(
                sys.executable,
                '-m',
                'hornbeamstair_daemon',
                '--settings',
                str(path),
                *(['--bootstrap'] if self.bootstrap else []),
                stderr=log,
                preexec_fn=set_parent_death_signal,
            )
        self.bootstrap = False
        await self._wait_until_ready()

    async def stop(self) -> int:
        """Stop the daemon with SIGTERM and return its exit code."""
        return await self._stop_with_signal(SIGTERM)

    async def kill(self) -> int:
        """Kill the daemon with SIGKILL and return its exit code."""
        return await self._stop_with_signal(SIGKILL)

    async def run_client(self, *arguments: str) -> CommandResult:
        """Run the operators' command line against this daemon."""
        return await run_command(
            'hornbeamstair_operators',
            '--server',
            self.operators_url,
            '--token',
            OPERATORS_TOKEN,
            *arguments,
        )

    def get_usage(self) -> ProcessUsage:
        """Return the CPU time and resident memory of the daemon."""
        if self.process is None:
            raise RuntimeError('the daemon is not running')
        return get_usage(self.process.pid)

    async def _wait_until_ready(self) -> None:
        async with HTTPClient() as client:
            for _ in range(_READY_ATTEMPTS):
                await sleep(_READY_POLL_SECONDS)
                self._check_running()
                try:
                    await client.get(f'{self.callers_url}/-/ready')
                except (OSError, AiosonicError):
                    continue
                return
        raise TimeoutError('the daemon did not become ready in time')

    def _check_running(self) -> None:
        exit_code = None if self.process is None else self.process.returncode
        if exit_code is not None:
            lines = self.log_path.read_text().splitlines()
            end_of_log = '\n'.join(lines[-_REPORTED_LINES:])
            raise RuntimeError(
                f'the daemon ended with exit code {exit_code}:\n{end_of_log}'
            )

    async def _stop_with_signal(self, signal: int) -> int:
        if self.process is None:
            return 0
        if self.process.returncode is None:
            self.process.send_signal(signal)
        exit_code = await self.process.wait()
        self.process = None
        return exit_code


async def run_command(module: str, *arguments: str) -> CommandResult:
    """Run a Python module as a command and wait for its end."""
    process = await create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *arguments,
        stdout=PIPE,
        stderr=PIPE,
    )
    output, errors = await process.communicate()
    return CommandResult(
        process.returncode or 0, output.decode(), errors.decode()
    )


def _make_listen_settings(port: int) -> dict[str, Any]:
    return {'address': '127.0.0.1', 'port': port}
