"""Steps that start daemons and draw ports beside other programs."""

import sys
from socket import socket
from subprocess import PIPE, Popen
from typing import Any

from behave import given, then, when

from hornbeamstair_tools.processes import DaemonProcess

# Draws ports until its standard input is closed.
DRAW_PORTS = """
import os, sys
os.getpid = lambda: 7
from hornbeamstair_tools.ports import get_free_port
for _ in sys.stdin:
    print(get_free_port(), flush=True)
"""


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


@given('{count:d} runs with the same process id')
def start_runs(context: Any, count: int) -> None:
    """Start processes that draw ports."""
    context.runs = []
    for _ in range(count):
        run = Popen(
            [sys.executable, '-c', DRAW_PORTS],
            stdin=PIPE,
            stdout=PIPE,
            text=True,
        )
        context.add_cleanup(run.communicate)
        context.runs.append(run)


@when('each of them asks for {count:d} ports')
def draw_ports(context: Any, count: int) -> None:
    """Draw ports from all runs in turn."""
    context.ports = [
        _draw_port(run) for _ in range(count) for run in context.runs
    ]


@then('{count:d} different ports were given')
def check_ports(context: Any, count: int) -> None:
    """Check that no port was given twice."""
    assert len(set(context.ports)) == count, context.ports


def _draw_port(run: Popen[str]) -> int:
    assert run.stdin is not None
    assert run.stdout is not None
    run.stdin.write('\n')
    run.stdin.flush()
    return int(run.stdout.readline())
