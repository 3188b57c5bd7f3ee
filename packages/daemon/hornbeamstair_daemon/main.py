"""Command line of the hornbeamstaird daemon."""

from asyncio import run
from pathlib import Path
from typing import Annotated, Final

from typer import Exit, Option, Typer, echo

from hornbeamstair_callers.key_codec import KeyStateMachine
from hornbeamstair_core.events import log_event, set_up_logging
from hornbeamstair_core.invariants import InvariantError
from hornbeamstair_daemon.events import DaemonFailedEvent
from hornbeamstair_daemon.identity import BootstrapError
from hornbeamstair_daemon.lifetime import run_process
from hornbeamstair_daemon.recovery import recover_sole_voter
from hornbeamstair_daemon.settings import Settings, read_settings
from hornbeamstair_daemon.wiring import wire_process
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.storage.base import StorageError

__all__ = ('app', 'main')

_FATAL_ERRORS: Final = (
    BootstrapError,
    InvariantError,
    OSError,
    StorageError,
)
_EXIT_FAILURE: Final = 1
_EXIT_INVALID_SETTINGS: Final = 2

app = Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command()
def serve(
    settings: Annotated[
        Path,
        Option(help='Settings file in YAML.'),
    ],
    *,
    check: Annotated[
        bool,
        Option('--check', help='Check the settings and exit.'),
    ] = False,
    bootstrap: Annotated[
        bool,
        Option(
            '--bootstrap',
            help='Start a new system with this empty data folder as one of its '
            'initial voters.',
        ),
    ] = False,
    recover: Annotated[
        bool,
        Option(
            '--recover-alone',
            help='Remove all other voters, whose data folders are lost, '
            'and exit.',
        ),
    ] = False,
) -> None:
    """Serve callers, upstreams and operators according to the settings."""
    loaded = read_settings(settings)
    if loaded.is_error():
        echo(f'{loaded.error.number} {loaded.error.describe()}', err=True)
        raise Exit(_EXIT_INVALID_SETTINGS)
    if check:
        echo(f'{settings}: settings are valid')
        return
    if recover:
        recover_sole_voter(
            loaded.ok,
            {'control': ControlStateMachine(), 'keys': KeyStateMachine()},
        )
        echo('this process is now the sole voter; start it again')
        return
    _run_daemon(loaded.ok, bootstrap=bootstrap)


def main() -> None:
    """Run the daemon."""
    app()


def _run_daemon(settings: Settings, *, bootstrap: bool) -> None:
    set_up_logging(as_json=settings.json_logs)
    try:
        run(run_process(wire_process(settings, bootstrap=bootstrap)))
    except _FATAL_ERRORS as error:
        log_event(DaemonFailedEvent(str(error)))
        raise Exit(_EXIT_FAILURE) from error
