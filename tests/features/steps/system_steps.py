"""Steps that run a system of real processes on loopback."""

import sys
from collections import Counter
from subprocess import run
from time import monotonic, sleep
from typing import Any

from behave import given, then, when

from hornbeamstair_core.codec import json_converter
from hornbeamstair_tools.loopback_system import LoopbackSystem
from tests.support.work_model import make_manifest

QUEUE_PLACE = {'host': 'host', 'path': '/stops/'}


@given(
    'a system whose processes start in the order {order} with '
    '{workers:d} workers',
)
def start_system(context: Any, order: str, workers: int) -> None:
    """Start control and entry processes in an order, then the workers."""
    context.system = LoopbackSystem()
    context.add_cleanup(context.system.close)
    context.system.start_all(order.split(', '), workers)


@when('a manifest is put in force')
def apply_manifest(context: Any) -> None:
    """Send a manifest with one queue until it is accepted."""
    system: LoopbackSystem = context.system
    document = json_converter.unstructure(make_manifest())
    request = ('entry-1', 'PUT', '/v1/manifest', document)
    system.wait_for(
        lambda: _is_accepted(system.send_request(*request)),
        'the manifest to be accepted',
    )


@when(
    'job {job:d} with {tasks:d} tasks of {seconds:g} seconds is submitted '
    'through {name}',
)
def submit_job(
    context: Any, job: int, tasks: int, seconds: float, name: str
) -> None:
    """Submit a job repeatedly until it is accepted."""
    system: LoopbackSystem = context.system
    document = {
        'place': QUEUE_PLACE,
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
        lambda: _is_accepted(
            system.send_request(name, 'POST', '/v1/jobs', document)
        ),
        'the job to be accepted',
    )


@when('the leader of the system is killed')
def kill_leader(context: Any) -> None:
    """Kill the leader of the system, once tasks have started."""
    system: LoopbackSystem = context.system
    system.wait_for(system.journal.exists, 'a task to be started')
    sleep(0.5)
    system.kill(system.find_leader())


@when('a manifest of version {version:d} without its service is sent')
def send_invalid_manifest(context: Any, version: int) -> None:
    """Send a manifest whose queue refers to a missing service."""
    document = json_converter.unstructure(make_manifest())
    document.update(version=version, services=[])
    context.response = context.system.send_request(
        'entry-1', 'PUT', '/v1/manifest', document
    )


@then('it is refused with code {code:d}')
def check_refusal(context: Any, code: int) -> None:
    """Check the error code of the last response."""
    status, document = context.response
    assert status >= 400, context.response
    assert document['code'] == code, document


@then('the manifest in force has version {version:d}')
def check_manifest_version(context: Any, version: int) -> None:
    """Check the version of the manifest that a control process returns."""
    status, document = context.system.send_request(
        'control-1', 'GET', '/v1/manifest'
    )
    assert status == 200, status
    assert document['version'] == version, document


@then('job {job:d} is shown as completed within {seconds:d} seconds')
def check_completed(context: Any, job: int, seconds: int) -> None:
    """Check that a job is completed in time."""
    end = monotonic() + seconds
    path = f'/v1/jobs/{job:016x}?host=host&path=/stops/'
    while True:
        response = context.system.send_request('entry-1', 'GET', path)
        if response[0] == 200 and response[1]['state'] == 'completed':
            return
        assert monotonic() < end, response
        sleep(0.2)


@then('there is 1 job')
def check_single_job(context: Any) -> None:
    """Check that the job that was submitted twice exists once."""
    _, document = context.system.send_request('entry-1', 'GET', '/v1/jobs')
    assert len(document['jobs']) == 1, document


@then('each task was started once')
def check_started_once(context: Any) -> None:
    """Check that the workers' journal has one start for each task."""
    lines = context.system.journal.read_text().splitlines()
    counts = Counter(line.split()[0] for line in lines)
    assert set(counts.values()) == {1}, counts


@then('the command "{command}" sent to {name} prints "{text}"')
def check_command_prints(
    context: Any, command: str, name: str, text: str
) -> None:
    """Check the output of a command."""
    context.system.wait_for(
        lambda: text in _run_client(context, command, name).stdout,
        f'{command}: {_run_client(context, command, name)}',
    )


@then('the command "{command}" sent to {name} fails with code {code:d}')
def check_command_fails(
    context: Any, command: str, name: str, code: int
) -> None:
    """Check the exit code and the error code of a command."""
    result = _run_client(context, command, name)
    assert result.returncode == 1, result
    assert str(code) in result.stderr, result


def _is_accepted(response: tuple[int, Any]) -> bool:
    return response[0] == 200


def _run_client(context: Any, command: str, name: str):
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
