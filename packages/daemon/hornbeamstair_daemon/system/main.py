"""Command line of a system process that serves the product's own API."""

from asyncio import run
from pathlib import Path
from typing import Annotated, Final

from expression import Result
from typer import Exit, Option, echo
from typer import run as run_program

from hornbeamstair_callers.front_ends.system import SystemFrontEnd
from hornbeamstair_core.events import log_event, set_up_stream_logging
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.front_ends.guard import ClientGuard
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_daemon.events import DaemonFailedEvent
from hornbeamstair_daemon.system.lifetime import run_system_process
from hornbeamstair_daemon.system.options import (
    SystemOptions,
    read_system_options,
)
from hornbeamstair_daemon.system.process import EntryProcess, SystemProcess
from hornbeamstair_daemon.system.settings import SystemSettings
from hornbeamstair_daemon.system.wiring import wire_control, wire_entry
from hornbeamstair_upstreams.endpoints.http_workers import HttpWorkerSender

__all__ = ('main', 'serve')

_EXIT_FAILURE: Final = 1
_EXIT_INVALID_SETTINGS: Final = 2


def serve(
    settings: Annotated[Path, Option(help='Settings file in YAML.')],
    *,
    bootstrap: Annotated[
        bool,
        Option(
            '--bootstrap', help='Start the whole system for the first time.'
        ),
    ] = False,
    check: Annotated[
        bool,
        Option('--check', help='Check the settings and exit.'),
    ] = False,
) -> None:
    """Serve in the role given by the settings."""
    loaded = read_system_options(settings, bootstrap=bootstrap)
    if loaded.is_error():
        echo(f'{loaded.error.number} {loaded.error.describe()}', err=True)
        raise Exit(_EXIT_INVALID_SETTINGS)
    if check:
        echo(f'{settings}: settings are valid')
        return
    metrics = Metrics()
    set_up_stream_logging(loaded.ok.settings.label, metrics)

    def reload_settings() -> Result[SystemSettings, Failure]:  # noqa: WPS430
        reloaded = read_system_options(settings, bootstrap=bootstrap)
        return reloaded.map(lambda options: options.settings)

    try:
        run(
            run_system_process(
                _wire_process(loaded.ok, metrics), reload_settings
            )
        )
    except (OSError, ValueError) as error:
        log_event(DaemonFailedEvent(repr(error)))
        raise Exit(_EXIT_FAILURE) from error


def main() -> None:
    """Run the program."""
    run_program(serve)


def _wire_process(options: SystemOptions, metrics: Metrics) -> SystemProcess:
    if options.role == EntryProcess.role:
        process: SystemProcess = wire_entry(options.settings, metrics)
    else:
        process = wire_control(
            options.settings,
            metrics,
            HttpWorkerSender(),
            None,
        )
    guard = ClientGuard(options.client_limits, metrics)
    front_end = SystemFrontEnd(options.api, client=process.client, guard=guard)
    process.add_front_ends((front_end,))
    return process
