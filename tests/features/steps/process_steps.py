"""Steps that start daemons beside other programs."""

from socket import socket
from typing import Any

from behave import given, then, when

from hornbeamstair_tools.processes import DaemonProcess


@given('a daemon whose port for operators is in use')
def create_daemon(context: Any) -> None:
    """Create a daemon and listen on one of its ports."""
    world = context.world
    world.daemon = DaemonProcess(world.folder / 'daemon')
    context.listener = socket()
    context.add_cleanup(context.listener.close)
    context.listener.bind(('127.0.0.1', world.daemon.operators_port))
    context.listener.listen()


@when('the daemon is started')
def start_daemon(context: Any) -> None:
    """Start the daemon and keep the error of the start."""
    context.error = None
    try:
        context.world.run(context.world.daemon.start())
    except (RuntimeError, TimeoutError) as error:
        context.error = error


@then('the start fails naming "{text}"')
def check_start(context: Any, text: str) -> None:
    """Check that the daemon did not start, and why."""
    assert text in str(context.error), context.error


@then('the daemon has ended with exit code {code:d}')
def check_ended(context: Any, code: int) -> None:
    """Check that a daemon that has ended can be killed as any other."""
    exit_code = context.world.run(context.world.daemon.kill())
    assert exit_code == code, exit_code
