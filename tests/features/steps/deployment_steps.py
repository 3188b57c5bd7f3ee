"""Steps for a deployment of several daemons."""

import json
from asyncio import sleep
from itertools import cycle
from shutil import rmtree
from time import monotonic
from typing import Any

from aiosonic import HTTPClient
from behave import given, then, when
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from yaml import safe_load

from hornbeamstair_tools.caller import call
from hornbeamstair_tools.deployment import Deployment, ProcessPlan
from hornbeamstair_tools.processes import (
    OPERATORS_TOKEN,
    DaemonProcess,
    run_command,
)
from hornbeamstair_tools.stand_in_upstream import StandInUpstream
from tests.support.world import World

ZONES = 'muscat', 'nizwa', 'sohar'
CONTRACTS = 'tests/examples/contracts'


@given('{count:d} daemons in 3 zones, of which {voters:d} vote')
def start_deployment(context: Any, count: int, voters: int) -> None:
    """Start daemons spread over the zones; the first of them vote."""
    plans = []
    for position, zone in zip(range(count), cycle(ZONES), strict=False):
        name = f'{zone}-{position // len(ZONES) + 1}'
        plans.append(ProcessPlan(name, zone, is_voter=position < voters))
    world: World = context.world
    context.deployment = Deployment(world.folder, tuple(plans))
    context.killed = None
    world.deployment = context.deployment
    world.run(context.deployment.start())


@given('an upstream "{name}" of "{service}" in the zone "{zone}"')
def add_zone_upstream(
    context: Any,
    name: str,
    service: str,
    zone: str,
) -> None:
    """Start a stand-in upstream that announces itself in its zone."""
    urls = context.deployment.get_announce_urls(zone)
    upstream = StandInUpstream(name, service, urls, zone=zone)
    context.world.upstreams[name] = upstream
    context.world.run(upstream.start())


@when(
    'the contract "{name}" is applied through "{process}" '
    'with request id "{request_id}"',
)
def apply_through(
    context: Any,
    name: str,
    process: str,
    request_id: str,
) -> None:
    """Apply a contract through one process."""
    daemon = context.deployment.daemons[process]
    context.answer = context.world.run(
        _apply_contract(daemon, name, request_id)
    )
    assert context.answer['accepted'], context.answer


@when(
    'the contract "{name}" is applied through a running process '
    'with request id "{request_id}"',
)
def apply_through_running(context: Any, name: str, request_id: str) -> None:
    """Apply a contract through the last running process."""
    daemon = _get_running(context.deployment)[-1]
    context.answer = context.world.run(
        _apply_contract(daemon, name, request_id)
    )
    assert context.answer['accepted'], context.answer


@then(
    'every running process has revision {revision:d} in force '
    'within 10 seconds',
)
def check_revision(context: Any, revision: int) -> None:
    """Check that each running process reaches a revision and is ready."""
    context.world.run(_wait_for_revision(context.deployment, revision))


@when('the leader is killed')
def kill_leader(context: Any) -> None:
    """Kill the process that leads the control group."""
    context.world.run(_kill_leader(context))


@when('the killed process is restarted')
def restart_killed(context: Any) -> None:
    """Restart the process that was killed last."""
    context.world.run(context.killed.start())


@when('every process outside the zone "{zone}" is killed')
def kill_other_zones(context: Any, zone: str) -> None:
    """Kill all running processes of the other zones."""
    for daemon in _get_running(context.deployment):
        if daemon.zone != zone:
            context.world.run(daemon.kill())


@when('the process "{name}" is killed and restarted')
def restart_process(context: Any, name: str) -> None:
    """Restart a process."""
    daemon = context.deployment.daemons[name]
    context.world.run(daemon.kill())
    context.world.run(daemon.start())


@then(
    'a resend of "{request_id}" through a running process is answered with '
    'revision {revision:d}',
)
def check_resend(context: Any, request_id: str, revision: int) -> None:
    """Check that a resend gets the first answer."""
    daemon = _get_running(context.deployment)[0]
    answer = context.world.run(
        _apply_contract(daemon, 'grinders.yaml', request_id)
    )
    assert answer['revision'] == revision, answer


@when('a call with key "{key}" is sent through "{process}"')
def send_through(context: Any, key: str, process: str) -> None:
    """Send a keyed call through one entry process."""
    context.key = key
    context.keyed_answers = []
    _send_keyed(context, process)


@when('the same call is sent through "{process}"')
def resend_through(context: Any, process: str) -> None:
    """Resend the keyed call through an entry process."""
    _send_keyed(context, process)


@then('all {count:d} answers are successful and the call ran once')
def check_ran_once(context: Any, count: int) -> None:
    """Check the answers to a keyed call and that one upstream got it once."""
    answers = context.keyed_answers
    assert len(answers) == count, answers
    assert all(answer.status == 200 for answer in answers), answers
    upstreams = context.world.upstreams.values()
    assert sum(upstream.arrivals[context.key] for upstream in upstreams) == 1


@when('a client without the shared key connects to "{process}"')
def connect_without_key(context: Any, process: str) -> None:
    """Connect to the peer port without the key and count the messages."""
    daemon = context.deployment.daemons[process]
    peers = daemon.settings['peers']['processes']
    port = next(peer['port'] for peer in peers if peer['process'] == process)
    context.message_count = context.world.run(_count_messages_without_key(port))


@then('the client gets the challenge and nothing else')
def check_only_challenge(context: Any) -> None:
    """Check that the connection was closed after the challenge."""
    assert context.message_count == 1, context.message_count


def _get_running(deployment: Deployment) -> list[DaemonProcess]:
    daemons = deployment.daemons.values()
    return [daemon for daemon in daemons if daemon.process is not None]


def _send_keyed(context: Any, process: str) -> None:
    daemon = context.deployment.daemons[process]

    async def send() -> Any:  # noqa: WPS430
        async with HTTPClient() as client:
            url = f'{daemon.callers_url}/fees/post'
            return await call(client, url, 'grinders', context.key)

    context.keyed_answers.append(context.world.run(send()))


async def _apply_contract(
    daemon: DaemonProcess,
    name: str,
    request_id: str,
) -> dict[str, Any]:
    with open(f'{CONTRACTS}/{name}') as source:
        contract = safe_load(source)
    change = {'kind': 'apply_contract', 'contract': contract}
    document = {'request_id': request_id, 'change': change}
    async with HTTPClient() as client:
        for _ in range(50):
            answer = await client.post(
                f'{daemon.operators_url}/v1/changes',
                headers={'authorization': f'Bearer {OPERATORS_TOKEN}'},
                json=document,
            )
            if answer.ok:
                break
            # The election of a new leader may be in progress.
            await sleep(0.2)
        decoded: dict[str, Any] = json.loads(await answer.content())
        return decoded


async def _get_status(daemon: DaemonProcess) -> dict[str, Any]:
    async with HTTPClient() as client:
        answer = await client.get(
            f'{daemon.operators_url}/v1/status',
            headers={'authorization': f'Bearer {OPERATORS_TOKEN}'},
        )
        status: dict[str, Any] = json.loads(await answer.content())
        return status


async def _wait_for_revision(deployment: Deployment, revision: int) -> None:
    deadline = monotonic() + 10
    while True:
        statuses = [
            await _get_status(daemon) for daemon in _get_running(deployment)
        ]
        revisions = {
            status['process']: (status['revision'], status['is_ready'])
            for status in statuses
        }
        if set(revisions.values()) == {(revision, True)}:
            return
        assert monotonic() < deadline, revisions
        await sleep(0.1)


async def _kill_leader(context: Any) -> None:
    for daemon in _get_running(context.deployment):
        status = await _get_status(daemon)
        if status['groups'][0]['role'] == 'leader':
            await daemon.kill()
            context.killed = daemon
            return
    raise AssertionError('no process leads')


async def _count_messages_without_key(port: int) -> int:
    message_count = 0
    async with connect(f'ws://127.0.0.1:{port}', proxy=None) as connection:
        await connection.send(b'nonce')
        await connection.send(b'no proof')
        try:
            while True:
                await connection.recv()
                message_count += 1
        except ConnectionClosed:
            return message_count


@when('the operator applies "{name}" with --wait through "{process}"')
def apply_waiting(context: Any, name: str, process: str) -> None:
    """Apply a contract and wait until it is in force everywhere."""
    arguments = 'contract', 'apply', f'{CONTRACTS}/{name}', '--wait'
    _run_client(context, process, *arguments)


@when('the operator runs "{arguments}" through "{process}"')
def run_command_through(context: Any, arguments: str, process: str) -> None:
    """Run the command line against one process."""
    _run_client(context, process, *arguments.split())


@when('the process "{name}" restarts with a wiped disk')
def restart_wiped(context: Any, name: str) -> None:
    """Kill a voter, remove its data and start it again."""
    daemon = context.deployment.daemons[name]
    context.world.run(daemon.kill())
    rmtree(daemon.folder / 'data')
    context.world.run(daemon.start())


@when('the operator replaces the voter of "{name}" through "{process}"')
def replace_voter(context: Any, name: str, process: str) -> None:
    """Replace a lost voter by the one with the new disk."""
    daemon = context.deployment.daemons[name]
    status = context.world.run(_get_status(daemon))
    assert not status['is_ready'], status
    incarnation = (daemon.folder / 'data' / 'incarnation').read_text()
    context.new_voter = f'{name}/{incarnation}'
    arguments = 'voter', 'replace', f'{name}/1', context.new_voter
    _run_client(context, process, *arguments)


@then("the operator's command succeeds")
def check_success(context: Any) -> None:
    """Check the exit code of the last command."""
    assert context.command.exit_code == 0, context.command


@then("the operator's command is refused with code {code:d}")
def check_command_refused(context: Any, code: int) -> None:
    """Check the refusal of the last command."""
    assert context.command.exit_code == 1, context.command
    assert context.command.errors.startswith(f'{code} '), context.command


@then('the operator\'s output names "{text}"')
def check_command_output(context: Any, text: str) -> None:
    """Check the output of the last command."""
    assert text in context.command.output, context.command


@then('the voters are "{one}", "{other}" and the new voter of "{name}"')
def check_voters(context: Any, one: str, other: str, name: str) -> None:
    """Check the voters in the status of one process."""
    _run_client(context, 'muscat-2', '--output', 'json', 'processes')
    daemon = context.deployment.daemons['muscat-1']
    status = context.world.run(_get_status(daemon))
    voters = set(status['groups'][0]['voters'])
    assert voters == {one, other, context.new_voter}, voters


def _run_client(context: Any, process: str, *arguments: str) -> None:
    daemon = context.deployment.daemons[process]
    context.command = context.world.run(daemon.run_client(*arguments))


@when('"{one}" and "{other}" are lost permanently')
def kill_permanently(context: Any, one: str, other: str) -> None:
    """Kill two voters that are never restarted."""
    for name in (one, other):
        context.world.run(context.deployment.daemons[name].kill())


@when('"{name}" is recovered as the sole voter')
def recover_sole_voter(context: Any, name: str) -> None:
    """Make a process the sole voter of its disk and restart it."""
    daemon = context.deployment.daemons[name]
    context.world.run(daemon.kill())
    arguments = (
        '--settings',
        str(daemon.write_settings()),
        '--recover-alone',
    )
    answer = context.world.run(run_command('hornbeamstair_daemon', *arguments))
    assert answer.exit_code == 0, answer
    context.world.run(daemon.start())
