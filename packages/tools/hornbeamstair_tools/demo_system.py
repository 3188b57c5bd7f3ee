"""Demonstration of jobs on workers, through the loss of the holder."""

import sys
from pathlib import Path
from subprocess import run
from typing import Any, Final

from yaml import safe_dump

from hornbeamstair_tools.loopback_system import LoopbackSystem

__all__ = ('show_system',)

_ENTRY: Final = 'entry-1'
_JOB: Final = '00000000000000a1'
_PLACE: Final = {'host': 'grinders', 'path': '/stops/'}
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
_SPEC: Final[dict[str, Any]] = {
    'place': _PLACE,
    'wait_seconds': 2,
    'spec': {
        'job': _JOB,
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
    """Show a job that survives its holder (about ten seconds)."""
    system = LoopbackSystem()
    try:
        system.start_all([*system.controls, _ENTRY], workers=2)
        _show(system)
    finally:
        system.close()


def _show(system: LoopbackSystem) -> None:
    folder = Path(system.folder.name)
    (folder / 'manifest.yaml').write_text(safe_dump(_MANIFEST))
    (folder / 'job.yaml').write_text(safe_dump(_SPEC))
    manifest = str(folder / 'manifest.yaml')
    job = str(folder / 'job.yaml')
    system.wait_for(
        lambda: _run(system, 'manifest', 'apply', manifest) == 0,
        'manifest accepted',
    )
    system.wait_for(
        lambda: _run(system, 'job', 'submit', job) == 0,
        'job accepted',
    )
    system.wait_for(system.journal.exists, 'tasks started')
    _run(system, 'worker', 'list')
    holder = system.find_holder()
    print(f'kill -9 {holder}, which gives the orders', flush=True)
    system.kill(holder)
    _run(system, 'job', 'submit', job)
    path = f'/v1/jobs/{_JOB}?host=grinders&path=/stops/'
    system.wait_for(
        lambda: _is_completed(system.ask(_ENTRY, 'GET', path)),
        'job completed',
    )
    _run(system, 'job', 'list')
    starts = len(system.journal.read_text().splitlines())
    print(f'6 tasks, {starts} starts', flush=True)


def _is_completed(answer: tuple[int, Any]) -> bool:
    status, document = answer
    return status == 200 and document['state'] == 'completed'


def _run(system: LoopbackSystem, *words: str) -> int:
    command = [
        sys.executable,
        '-m',
        'hornbeamstair_operators',
        '--server',
        system.get_url(_ENTRY),
        *words,
    ]
    print('hornbeamstair', *words[:2], flush=True)
    return run(command, check=False).returncode
