"""Steps that send invalid input."""

import json
import sys
from asyncio import open_connection, timeout
from contextlib import suppress
from pathlib import Path
from typing import Any

from aiosonic import HTTPClient
from behave import then, when

from hornbeamstair_daemon.settings import read_settings
from hornbeamstair_tools.processes import OPERATORS_TOKEN, run_command
from tests.support.world import World

INVALID_SETTINGS = Path('tests/examples/bad_settings')
LARGE_BYTES = 2**20 + 1


@when('the settings "{name}" are read')
def read_invalid_settings(context: Any, name: str) -> None:
    """Read a settings file."""
    context.outcome = read_settings(INVALID_SETTINGS / name)


@then('the settings are refused with code {code:d} naming "{text}"')
def check_settings(context: Any, code: int, text: str) -> None:
    """Check the code and the text of the failure."""
    failure = context.outcome.error
    assert failure.number == code, failure
    assert text in failure.describe(), failure


@when('the settings of the daemon are checked')
def check_daemon_settings(context: Any) -> None:
    """Check valid settings with the daemon program."""
    _run_settings_check(context.world, context.world.daemon.write_settings())


@when('the settings "{name}" are checked by the daemon program')
def check_invalid_settings(context: Any, name: str) -> None:
    """Check invalid settings with the daemon program."""
    _run_settings_check(context.world, INVALID_SETTINGS / name)


def _run_settings_check(world: World, path: Path) -> None:
    arguments = 'hornbeamstair_daemon', '--settings', str(path), '--check'
    world.command = world.run(run_command(*arguments))


@then('the check exits with {code:d}')
def check_exit_code(context: Any, code: int) -> None:
    """Check the exit code of the program."""
    assert context.world.command.exit_code == code, context.world.command


@then('the command exits with {code:d} naming "{text}"')
def check_command_exit(context: Any, code: int, text: str) -> None:
    """Check the exit code and the error of the command."""
    command = context.world.command
    assert command.exit_code == code, command
    assert text in command.errors, command


@when('"{method} {path}" is sent to the {peer} with "{body}"')
def send_request(
    context: Any,
    method: str,
    path: str,
    peer: str,
    body: str,
) -> None:
    """Send a request with a body."""
    payload = body.replace("'", '"').encode()
    if body == 'LARGE':
        payload = b'x' * LARGE_BYTES
    headers = {
        'authorization': f'Bearer {OPERATORS_TOKEN}',
        'hornbeamstair-customer': 'grinders',
    }
    url = _get_url(context.world, peer) + path
    context.http_response = context.world.run(
        _send(method, url, headers, payload),
    )


@when('"{method} {path}" is sent to the {peer} without a token')
def send_without_token(
    context: Any,
    method: str,
    path: str,
    peer: str,
) -> None:
    """Send a request without a bearer token."""
    url = _get_url(context.world, peer) + path
    context.http_response = context.world.run(_send(method, url, {}, b''))


@then('the HTTP response has status {status:d} and code {code:d}')
def check_http_response(context: Any, status: int, code: int) -> None:
    """Check the status and the code in the body."""
    actual_status, document = context.http_response
    assert actual_status == status, document
    assert document['code'] == code, document


@when('the bytes "{text}" are sent to the {peer}')
def send_bytes(context: Any, text: str, peer: str) -> None:
    """Send bytes that are not valid HTTP."""
    payload = text.encode('latin-1').decode('unicode_escape').encode('latin-1')
    port = int(_get_url(context.world, peer).rpartition(':')[2])
    context.world.run(_send_bytes(port, payload))


def _get_url(world: World, peer: str) -> str:
    url: str = getattr(world.get_daemon(), f'{peer}_url')
    return url


async def _send(
    method: str,
    url: str,
    headers: dict[str, str],
    payload: bytes,
) -> tuple[int, Any]:
    async with HTTPClient() as client:
        response = await client.request(
            url,
            method,
            headers=headers,
            data=payload,
        )
        return response.status_code, json.loads(await response.content())


async def _send_bytes(port: int, payload: bytes) -> None:
    reader, writer = await open_connection('127.0.0.1', port)
    writer.write(payload)
    with suppress(TimeoutError, ConnectionError):
        async with timeout(1):
            await reader.read()
    writer.close()


if sys.flags.optimize:
    raise RuntimeError('the suite needs assert statements')
