"""Processes of the system on loopback, and their stand-in workers."""

import json
import sys
from pathlib import Path
from subprocess import DEVNULL, Popen
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

from attrs import define, field
from yaml import safe_dump

from hornbeamstair_tools.processes import get_free_port, set_parent_death_signal

READY_SECONDS = 20
PAUSE_SECONDS = 0.1
# Last byte of the loopback addresses.
FIRST_CONTROL = 1
FIRST_ENTRY = 10


@define(eq=False)
class LoopbackSystem:
    """Three processes that vote, one entry process and some workers.

    Each process has an address of its own in the loopback range, as the
    identity of a process is its address. All end with the scenario.
    """

    folder: TemporaryDirectory[str] = field(factory=TemporaryDirectory)
    port: int = field(factory=get_free_port)
    api_port: int = field(factory=get_free_port)
    processes: dict[str, Popen[bytes]] = field(factory=dict)

    @property
    def journal(self) -> Path:
        """File in which the workers note each start."""
        return Path(self.folder.name) / 'journal'

    @property
    def controls(self) -> list[str]:
        """Names of the processes that vote."""
        return ['control-1', 'control-2', 'control-3']

    def get_url(self, name: str) -> str:
        """Get the address of a process's own interface."""
        return f'http://{get_address(name)}:{self.api_port}'

    def start_all(self, order: list[str], workers: int) -> None:
        """Start the processes in an order, then the workers."""
        for name in order:
            self.start(name, bootstrap=True)
        for number in range(workers):
            self.start_worker(f'w{number}')

    def start(self, name: str, *, bootstrap: bool = False) -> None:
        """Start a process."""
        path = Path(self.folder.name) / f'{name}.yaml'
        path.write_text(safe_dump(self.get_settings(name)))
        flags = ['--bootstrap'] if bootstrap else []
        self.spawn(
            name,
            ['hornbeamstair_daemon.system', '--settings', str(path), *flags],
        )

    def start_worker(self, name: str) -> None:
        """Start a stand-in worker."""
        self.spawn(
            name,
            [
                'hornbeamstair_tools.stand_in_worker',
                *map(self.get_url, self.controls),
                '--port',
                str(get_free_port()),
                '--name',
                name,
                '--journal',
                str(self.journal),
            ],
        )

    def spawn(self, name: str, arguments: list[str]) -> None:
        """Start a program; its output goes into a file."""
        with (Path(self.folder.name) / f'{name}.log').open('ab') as log:
            self.processes[name] = Popen(
                [sys.executable, '-m', *arguments],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=set_parent_death_signal,
            )

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
        for ended in self.processes.values():
            ended.wait()
        self.folder.cleanup()

    def ask(
        self,
        name: str,
        method: str,
        path: str,
        document: Any = None,
    ) -> tuple[int, Any]:
        """Send a request to a process; status 0 without an answer."""
        body = None if document is None else json.dumps(document).encode()
        request = Request(f'{self.get_url(name)}{path}', body, method=method)
        try:
            with urlopen(request, timeout=5) as response:
                return response.status, json.loads(response.read())
        except HTTPError as refusal:
            return refusal.code, json.loads(refusal.read())
        except (URLError, OSError, ValueError):
            return 0, None

    def wait_for(self, is_so: Any, what: str) -> None:
        """Wait until something is so."""
        end = monotonic() + READY_SECONDS
        while not is_so():
            assert monotonic() < end, f'not in time: {what}'
            sleep(PAUSE_SECONDS)

    def find_holder(self) -> str:
        """Find the process that gave orders last, by the logs."""
        terms = {
            json.loads(line)['fencing_token']: name
            for name in self.controls
            for line in self._read_log(name)
            if '"holder_changed"' in line and '"holds": true' in line
        }
        return terms[max(terms)]

    def get_settings(self, name: str) -> dict[str, Any]:
        """Get the settings of a process."""
        role, _, number = name.partition('-')
        settings: dict[str, Any] = {
            'role': role,
            'process': name,
            'zone': f'zone-{number}',
            'listen': {'address': get_address(name), 'port': self.port},
            'api': {'address': get_address(name), 'port': self.api_port},
            'seeds': [
                {'address': get_address(seed), 'port': self.port}
                for seed in self.controls
            ],
        }
        if role == 'control':
            folder = Path(self.folder.name) / f'{name}-data'
            settings['data_folder'] = str(folder)
        return settings

    def _read_log(self, name: str) -> list[str]:
        path = Path(self.folder.name) / f'{name}.log'
        return path.read_text().splitlines()


def get_address(name: str) -> str:
    """Get the loopback address of a process."""
    role, _, number = name.partition('-')
    first = FIRST_ENTRY if role == 'entry' else FIRST_CONTROL
    return f'127.0.0.{first + int(number)}'
