"""Processes of a system on loopback, with stand-in workers."""

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

from hornbeamstair_tools.ports import get_free_port
from hornbeamstair_tools.processes import set_parent_death_signal

WAIT_TIMEOUT_SECONDS = 20
POLL_SECONDS = 0.1
# Added to the number of a process to get the last byte of its address.
CONTROL_ADDRESS_OFFSET = 1
ENTRY_ADDRESS_OFFSET = 10


@define(eq=False)
class LoopbackSystem:
    """Three control processes that vote, an entry process and workers.

    Each process has its own loopback address, since processes are identified
    by their addresses. Call close() to end all of them.
    """

    folder: TemporaryDirectory[str] = field(factory=TemporaryDirectory)
    port: int = field(factory=get_free_port)
    api_port: int = field(factory=get_free_port)
    processes: dict[str, Popen[bytes]] = field(factory=dict)

    @property
    def journal(self) -> Path:
        """File to which the workers append each start."""
        return Path(self.folder.name) / 'journal'

    @property
    def control_names(self) -> list[str]:
        """Names of the control processes, which vote."""
        return ['control-1', 'control-2', 'control-3']

    def get_url(self, name: str) -> str:
        """Return the base URL of the API of a process."""
        return f'http://{get_address(name)}:{self.api_port}'

    def start_all(self, names: list[str], workers: int) -> None:
        """Start the processes in the given order, then the workers."""
        for name in names:
            self.start(name, bootstrap=True)
        for number in range(workers):
            self.start_worker(f'w{number}')

    def start(self, name: str, *, bootstrap: bool = False) -> None:
        """Write the settings of a process and start it."""
        path = Path(self.folder.name) / f'{name}.yaml'
        path.write_text(safe_dump(self.get_settings(name)))
        flags = ['--bootstrap'] if bootstrap else []
        self.start_module(
            name,
            ['hornbeamstair_daemon.system', '--settings', str(path), *flags],
        )

    def start_worker(self, name: str) -> None:
        """Start a stand-in worker."""
        self.start_module(
            name,
            [
                'hornbeamstair_tools.stand_in_worker',
                *map(self.get_url, self.control_names),
                '--port',
                str(get_free_port()),
                '--name',
                name,
                '--journal',
                str(self.journal),
            ],
        )

    def start_module(self, name: str, arguments: list[str]) -> None:
        """Run a Python module as a child process that writes to a log file."""
        with (Path(self.folder.name) / f'{name}.log').open('ab') as log:
            self.processes[name] = Popen(
                [sys.executable, '-m', *arguments],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=set_parent_death_signal,
            )

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self) -> None:
        """Kill all processes and remove the folder."""
        for process in self.processes.values():
            process.kill()
        for ended in self.processes.values():
            ended.wait()
        self.folder.cleanup()

    def send_request(
        self,
        name: str,
        method: str,
        path: str,
        document: Any = None,
    ) -> tuple[int, Any]:
        """Return status and body of a response; status 0 without one."""
        body = None if document is None else json.dumps(document).encode()
        request = Request(f'{self.get_url(name)}{path}', body, method=method)
        try:
            with urlopen(request, timeout=5) as response:
                return response.status, json.loads(response.read())
        except HTTPError as error:
            return error.code, json.loads(error.read())
        except (URLError, OSError, ValueError):
            return 0, None

    def wait_for(self, condition: Any, description: str) -> None:
        """Wait until a condition holds; raise AssertionError if too late."""
        end = monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition():
            assert monotonic() < end, f'timed out waiting for: {description}'
            sleep(POLL_SECONDS)

    def find_leader(self) -> str:
        """Return the leader with the highest fencing token in the logs."""
        terms = {
            json.loads(line)['fencing_token']: name
            for name in self.control_names
            for line in self._read_log(name)
            if '"holder_changed"' in line and '"holds": true' in line
        }
        return terms[max(terms)]

    def get_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of a process."""
        role, _, number = name.partition('-')
        settings: dict[str, Any] = {
            'role': role,
            'process': name,
            'zone': f'zone-{number}',
            'listen': {'address': get_address(name), 'port': self.port},
            'api': {'address': get_address(name), 'port': self.api_port},
            'seeds': [
                {'address': get_address(seed), 'port': self.port}
                for seed in self.control_names
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
    """Return the loopback address of a process."""
    role, _, number = name.partition('-')
    offset = ENTRY_ADDRESS_OFFSET if role == 'entry' else CONTROL_ADDRESS_OFFSET
    return f'127.0.0.{offset + int(number)}'
