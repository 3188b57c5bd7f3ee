"""Steps that run a real daemon with stand-in upstreams."""

import json
from asyncio import create_task, gather, sleep
from pathlib import Path
from typing import Any

from aiosonic import HTTPClient
from behave import given, then, when
from yaml import safe_load

from hornbeamstair_tools.caller import call
from hornbeamstair_tools.faults import Fault
from hornbeamstair_tools.processes import OPERATORS_TOKEN
from tests.support.world import World

EXAMPLES = Path('tests/examples')


def _get_contract_path(name: str) -> str:
    return str(EXAMPLES / 'contracts' / name)


@given('a daemon')
def start_daemon(context: Any) -> None:
    """Start a daemon with default settings."""
    context.world.start_daemon()


@given('a daemon that waits {seconds:g} seconds for answers')
def start_daemon_with_timeout(context: Any, seconds: float) -> None:
    """Start a daemon with a short timeout for upstreams."""
    context.world.start_daemon(answer_seconds=seconds)


@given('the contract "{name}" is in force')
def apply_contract_by_api(context: Any, name: str) -> None:
    """Apply a contract through the HTTP API with the request id "first"."""
    document = safe_load(Path(_get_contract_path(name)).read_text())
    context.world.run(
        _request(
            context.world,
            'POST',
            '/v1/changes',
            {
                'request_id': 'first',
                'change': {'kind': 'apply_contract', 'contract': document},
            },
        ),
    )


@then('the control state has revision {revision:d}')
def check_control_revision(context: Any, revision: int) -> None:
    """Check the revision that the API reports."""
    status = context.world.run(_request(context.world, 'GET', '/v1/status'))
    assert status['revision'] == revision, status


async def _request(
    world: World,
    method: str,
    path: str,
    document: dict[str, Any] | None = None,
) -> Any:
    async with HTTPClient() as client:
        response = await client.request(
            f'{world.get_daemon().operators_url}{path}',
            method,
            headers={'authorization': f'Bearer {OPERATORS_TOKEN}'},
            json=document,
        )
        assert response.ok, await response.text()
        return json.loads(await response.content())


@when('the contract "{name}" is applied with request id "{request_id}"')
def apply_contract(context: Any, name: str, request_id: str) -> None:
    """Apply a contract through the command line."""
    arguments = 'contract', 'apply', _get_contract_path(name)
    context.world.run_client(
        '--output',
        'json',
        *arguments,
        '--request-id',
        request_id,
    )


@when(
    'the contract "{name}" is applied to revision {revision:d} '
    'as "{request_id}"',
)
def apply_at_revision(
    context: Any,
    name: str,
    request_id: str,
    revision: int,
) -> None:
    """Apply a contract that must have the expected revision."""
    context.world.run_client(
        '--output',
        'json',
        'contract',
        'apply',
        _get_contract_path(name),
        '--request-id',
        request_id,
        '--expected-revision',
        str(revision),
    )


@when('the operator runs "{arguments}"')
def run_client(context: Any, arguments: str) -> None:
    """Run the command line."""
    context.world.run_client(*arguments.split())


@given('an upstream "{name}" of "{service}" with delay {seconds:g}')
def add_upstream(
    context: Any,
    name: str,
    service: str,
    seconds: float,
) -> None:
    """Start a stand-in upstream that delays its responses."""
    context.world.add_upstream(name, service, delay_seconds=seconds)


@given('an upstream "{name}" of "{service}" with fault "{fault}"')
def add_faulty_upstream(
    context: Any,
    name: str,
    service: str,
    fault: str,
) -> None:
    """Start a stand-in upstream that simulates a fault."""
    context.world.add_upstream(name, service, fault=Fault(fault))


@when('"{customer}" sends {count:d} calls at once to "{path}"')
def send_calls(context: Any, customer: str, count: int, path: str) -> None:
    """Send calls concurrently."""
    context.world.call_many([path] * count, customer)


@when('"{customer}" sends a call with key "{key}" to "{path}"')
def send_keyed_call(context: Any, customer: str, key: str, path: str) -> None:
    """Send a keyed call."""
    context.world.call(path, customer, key=key)


@when('"{customer}" sends the body "{body}" with key "{key}" to "{path}"')
def send_keyed_body(
    context: Any,
    customer: str,
    key: str,
    body: str,
    path: str,
) -> None:
    """Send a keyed call with the given body."""
    context.world.call(path, customer, key=key, body=body.encode())


@when('the daemon is killed and started again')
def kill_and_restart(context: Any) -> None:
    """Kill the daemon and start it on the same data folder."""
    daemon = context.world.get_daemon()
    context.world.run(daemon.kill())
    context.world.run(daemon.start())


@when('the daemon is started again')
def start_again(context: Any) -> None:
    """Start the daemon on the same data folder."""
    context.world.run(context.world.get_daemon().start())


@when('the upstreams announce themselves')
def announce_upstreams(context: Any) -> None:
    """Send one announcement for each stand-in upstream."""
    for upstream in context.world.upstreams.values():
        context.world.run(upstream.announce())


@when('the daemon is killed while a call with key "{key}" is in progress')
def kill_during_call(context: Any, key: str) -> None:
    """Kill the daemon while an upstream processes a keyed call."""
    world: World = context.world

    async def kill() -> None:  # noqa: WPS430
        async with HTTPClient() as client:
            url = f'{world.get_daemon().callers_url}/fees/post'
            pending_calls = create_task(call(client, url, 'grinders', key))
            await _wait_in_progress(world, 1)
            await world.get_daemon().kill()
            await gather(pending_calls, return_exceptions=True)

    world.run(kill())


@when(
    'the daemon is stopped while {count:d} calls to "{path}" are in progress',
)
def stop_during_calls(context: Any, count: int, path: str) -> None:
    """Stop the daemon while upstreams process calls."""
    world: World = context.world

    async def stop() -> None:  # noqa: WPS430
        async with HTTPClient() as client:
            url = f'{world.get_daemon().callers_url}{path}'
            pending_calls = [
                create_task(call(client, url, 'grinders')) for _ in range(count)
            ]
            await _wait_in_progress(world, count)
            world.step_values['exit_code'] = await world.get_daemon().stop()
            world.responses = await gather(*pending_calls)

    world.run(stop())


async def _wait_in_progress(world: World, count: int) -> None:
    for _ in range(500):
        if (
            sum(upstream.in_progress for upstream in world.upstreams.values())
            == count
        ):
            return
        await sleep(0.01)
    raise TimeoutError(
        'the expected number of calls did not reach the upstreams'
    )


@when('the upstream "{name}" leaves')
def withdraw_upstream(context: Any, name: str) -> None:
    """Announce the departure of an upstream."""
    context.world.run(context.world.upstreams[name].leave())


@when('the upstream "{name}" stops renewing its lease for {seconds:g} seconds')
def let_lease_expire(context: Any, name: str, seconds: float) -> None:
    """Stop the lease renewals of an upstream and wait."""
    context.world.upstreams[name].stop_renewals()
    context.world.run(sleep(seconds))


@then('the command succeeds with revision {revision:d}')
def check_revision(context: Any, revision: int) -> None:
    """Check the revision that the command printed."""
    command = context.world.command
    assert command.exit_code == 0, command
    assert json.loads(command.output)['revision'] == revision, command


@then('the command is refused with code {code:d} naming "{text}"')
def check_refused(context: Any, code: int, text: str) -> None:
    """Check the refusal that the command printed."""
    command = context.world.command
    assert command.exit_code == 1, command
    assert command.errors.startswith(f'{code} '), command
    assert text in command.errors, command


@then('the output names "{text}"')
def check_output(context: Any, text: str) -> None:
    """Check the output of the command."""
    command = context.world.command
    assert command.exit_code == 0, command
    assert text in command.output, command


@then('the output is JSON with "{name}" equal to {number:d}')
def check_json(context: Any, name: str, number: int) -> None:
    """Check a field of the JSON output."""
    assert json.loads(context.world.command.output)[name] == number


@then('{count:d} calls are answered with status {status:d}')
def check_calls_answered(context: Any, count: int, status: int) -> None:
    """Check how many calls succeeded, each with the complete body."""
    succeeded = [
        response
        for response in context.world.responses
        if response.status == status and not response.code
    ]
    assert len(succeeded) == count, context.world.responses
    assert all(response.body == b'done' for response in succeeded), succeeded


@then('{count:d} calls fail with code {code:d}')
def check_calls_failed(context: Any, count: int, code: int) -> None:
    """Check how many calls failed with a code."""
    failed = [
        response
        for response in context.world.responses
        if response.code == code
    ]
    assert len(failed) == count, context.world.responses


@then('the upstreams ran {count:d} calls')
def check_run_calls(context: Any, count: int) -> None:
    """Check how many calls ran on all upstreams in total."""
    upstreams = context.world.upstreams.values()
    runs = sum(upstream.arrivals.total() for upstream in upstreams)
    assert runs == count, runs


@then('the metric "{name}" with code {code:d} is {number:d}')
def check_metric(context: Any, name: str, code: int, number: int) -> None:
    """Check a counter of the daemon."""
    exposition = context.world.run(_get_metrics(context.world))
    matching_lines = [
        line
        for line in exposition.splitlines()
        if line.startswith(f'{name}{{') and f'code="{code}"' in line
    ]
    assert [float(line.rpartition(' ')[2]) for line in matching_lines] == [
        number
    ], exposition


async def _get_metrics(world: World) -> str:
    async with HTTPClient() as client:
        url = f'{world.get_daemon().operators_url}/metrics'
        response = await client.get(url)
        return str(await response.text())


@then('the daemon exited with code {code:d}')
def check_exit(context: Any, code: int) -> None:
    """Check the exit code of the daemon."""
    assert context.world.step_values['exit_code'] == code


@then('the daemon has {count:d} thread')
def check_threads(context: Any, count: int) -> None:
    """Check the thread count of the daemon."""
    process = context.world.get_daemon().process
    threads = list(Path(f'/proc/{process.pid}/task').iterdir())
    assert len(threads) == count, threads


@then('every log line is a JSON object')
def check_log(context: Any) -> None:
    """Check that each line of the log is JSON."""
    lines = _get_log(context)
    assert lines
    assert all(isinstance(json.loads(line), dict) for line in lines)


@then('the log has event {number:d}')
def check_event(context: Any, number: int) -> None:
    """Check that an event was logged."""
    event_numbers = {
        json.loads(line).get('number') for line in _get_log(context)
    }
    assert number in event_numbers, event_numbers


def _get_log(context: Any) -> list[str]:
    path = context.world.get_daemon().folder / 'log'
    return path.read_text().splitlines()
