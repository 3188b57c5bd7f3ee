"""Steps with processes that find each other from seeds."""

import sys
from collections import Counter
from subprocess import run
from time import monotonic, sleep
from typing import Any

from behave import given, then, when

from hornbeamstair_core.codec import json_converter
from hornbeamstair_tools.loopback_system import LoopbackSystem
from tests.support.work_model import make_manifest

PLACE = {'host': 'host', 'path': '/stops/'}


@given(
    'a system whose processes start in the order {order} with '
    '{workers:d} workers',
)
def start_system(context: Any, order: str, workers: int) -> None:
    """Start a system."""
    context.system = LoopbackSystem()
    context.add_cleanup(context.system.close)
    context.system.start_all(order.split(', '), workers)


@when('a manifest is put in force')
def put_manifest(context: Any) -> None:
    """Put a manifest with one queue in force."""
    system: LoopbackSystem = context.system
    document = json_converter.unstructure(make_manifest())
    request = ('entry-1', 'PUT', '/v1/manifest', document)
    system.wait_for(
        lambda: _is_accepted(system.ask(*request)),
        'manifest accepted',
    )


@when(
    'job {job:d} with {tasks:d} tasks of {seconds:g} seconds is submitted '
    'through {name}',
)
def submit(
    context: Any, job: int, tasks: int, seconds: float, name: str
) -> None:
    """Submit a job until it is accepted."""
    system: LoopbackSystem = context.system
    document = {
        'place': PLACE,
        'wait_seconds': 2,
        'spec': {
            'job': f'{job:016x}',
            'text': str(seconds),
            'phases': [
                {
                    'count': tasks,
                    'needs': {
                        'room': {'cpu': 1000, 'memory': 10},
                        'estimate_seconds': seconds,
                    },
                },
            ],
        },
    }
    system.wait_for(
        lambda: _is_accepted(system.ask(name, 'POST', '/v1/jobs', document)),
        'job accepted',
    )


@when('the holder is killed')
def kill_holder(context: Any) -> None:
    """Kill the process that gives orders, once the tasks have started."""
    system: LoopbackSystem = context.system
    system.wait_for(system.journal.exists, 'tasks started')
    sleep(0.5)
    system.kill(system.find_holder())


@when('a manifest of version {version:d} without its service is sent')
def send_bad_manifest(context: Any, version: int) -> None:
    """Send a manifest whose queue names no service."""
    document = json_converter.unstructure(make_manifest())
    document.update(version=version, services=[])
    context.answer = context.system.ask(
        'entry-1', 'PUT', '/v1/manifest', document
    )


@then('it is refused with code {code:d}')
def check_refusal(context: Any, code: int) -> None:
    """Check the code of the last refusal."""
    status, document = context.answer
    assert status >= 400, context.answer
    assert document['code'] == code, document


@then('the manifest in force has version {version:d}')
def check_version(context: Any, version: int) -> None:
    """Check the manifest that a process shows."""
    status, document = context.system.ask('control-1', 'GET', '/v1/manifest')
    assert status == 200, status
    assert document['version'] == version, document


@then('job {job:d} is shown as completed within {seconds:d} seconds')
def check_completed(context: Any, job: int, seconds: int) -> None:
    """Check that a job is completed in time."""
    end = monotonic() + seconds
    path = f'/v1/jobs/{job:016x}?host=host&path=/stops/'
    while True:
        answer = context.system.ask('entry-1', 'GET', path)
        if answer[0] == 200 and answer[1]['state'] == 'completed':
            return
        assert monotonic() < end, answer
        sleep(0.2)


@then('there is 1 job')
def check_one(context: Any) -> None:
    """Check that a job that was sent twice stands once."""
    _, document = context.system.ask('entry-1', 'GET', '/v1/jobs')
    assert len(document['jobs']) == 1, document


@then('each task was started once')
def check_started(context: Any) -> None:
    """Check the journal of the workers."""
    lines = context.system.journal.read_text().splitlines()
    counts = Counter(line.split()[0] for line in lines)
    assert set(counts.values()) == {1}, counts


@then('the command "{command}" of {name} prints "{text}"')
def check_command(context: Any, command: str, name: str, text: str) -> None:
    """Check what a command prints."""
    context.system.wait_for(
        lambda: text in _run(context, command, name).stdout,
        f'{command}: {_run(context, command, name)}',
    )


@then('the command "{command}" of {name} fails with code {code:d}')
def check_failure(context: Any, command: str, name: str, code: int) -> None:
    """Check how a command fails."""
    found = _run(context, command, name)
    assert found.returncode == 1, found
    assert str(code) in found.stderr, found


def _is_accepted(answer: tuple[int, Any]) -> bool:
    return answer[0] == 200


def _run(context: Any, command: str, name: str):
    return run(
        [
            sys.executable,
            '-m',
            'hornbeamstair_operators',
            '--server',
            context.system.get_url(name),
            *command.split(),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
