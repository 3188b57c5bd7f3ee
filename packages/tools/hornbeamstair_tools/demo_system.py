"""Demonstration of jobs on workers while the leader is killed."""

import sys
from pathlib import Path
from subprocess import run
from typing import Any, Final

from yaml import safe_dump

from hornbeamstair_tools.loopback_system import LoopbackSystem

__all__ = ('show_system',)

_ENTRY: Final = 'entry-1'
_JOB_ID: Final = '00000000000000a1'
_QUEUE_PLACE: Final = {'host': 'grinders', 'path': '/stops/'}
_MANIFEST: Final[dict[str, Any]] = {
    'version': 1,
    'document': '',
    'queues': [
        {
            'queue': 'stops',
            'host': 'grinders',
            'path_prefix': '/stops/',
            'service': 'grinding',
            'call_timeout': 3,
            'priority': 0,
            'max_attempts': 3,
            'stretch': 2,
            'target_seconds': 1,
        },
    ],
    'services': [
        {'service': 'grinding', 'guards_room': False, 'is_standby': False},
    ],
}
_JOB_REQUEST: Final[dict[str, Any]] = {
    'place': _QUEUE_PLACE,
    'wait_seconds': 2,
    'spec': {
        'job': _JOB_ID,
        'text': '1.5',
        'phases': [
            {
                'count': 6,
                'needs': {
                    'room': {'cpu': 1000, 'memory': 10},
                    'estimate_seconds': 1.5,
                },
            },
        ],
    },
}


def show_system() -> None:
    """Demonstrate a job that survives its leader, in about ten seconds."""
    system = LoopbackSystem()
    try:
        system.start_all([*system.control_names, _ENTRY], workers=2)
        _demonstrate(system)
    finally:
        system.close()


def _demonstrate(system: LoopbackSystem) -> None:
    folder = Path(system.folder.name)
    (folder / 'manifest.yaml').write_text(safe_dump(_MANIFEST))
    (folder / 'job.yaml').write_text(safe_dump(_JOB_REQUEST))
    manifest = str(folder / 'manifest.yaml')
    job = str(folder / 'job.yaml')
    system.wait_for(
        lambda: _run_client(system, 'manifest', 'apply', manifest) == 0,
        'the manifest to be accepted',
    )
    system.wait_for(
        lambda: _run_client(system, 'job', 'submit', job) == 0,
        'the job to be accepted',
    )
    system.wait_for(system.journal.exists, 'a task to be started')
    _run_client(system, 'worker', 'list')
    leader = system.find_leader()
    print(f'kill -9 {leader}, the leader', flush=True)
    system.kill(leader)
    _run_client(system, 'job', 'submit', job)
    path = f'/v1/jobs/{_JOB_ID}?host=grinders&path=/stops/'
    system.wait_for(
        lambda: _is_completed(system.send_request(_ENTRY, 'GET', path)),
        'the job to be completed',
    )
    _run_client(system, 'job', 'list')
    starts = len(system.journal.read_text().splitlines())
    print(f'6 tasks, {starts} starts', flush=True)


def _is_completed(response: tuple[int, Any]) -> bool:
    status, document = response
    return status == 200 and document['state'] == 'completed'


def _run_client(system: LoopbackSystem, *arguments: str) -> int:
    command = [
        sys.executable,
        '-m',
        'hornbeamstair_operators',
        '--server',
        system.get_url(_ENTRY),
        *arguments,
    ]
    print('hornbeamstair', *arguments[:2], flush=True)
    return run(command, check=False).returncode
