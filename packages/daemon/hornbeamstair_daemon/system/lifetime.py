"""Start, settings reload and graceful stop of a process of the system."""

from asyncio import (
    AbstractEventLoop,
    Event,
    create_task,
    get_running_loop,
    timeout,
)
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Any, Final

from expression import Result

from hornbeamstair_core.background import repeat
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.invariants import InvariantError, abort
from hornbeamstair_daemon.events import (
    DaemonStartedEvent,
    DaemonStoppedEvent,
    DaemonStoppingEvent,
    SettingsReloadedEvent,
)
from hornbeamstair_daemon.system.process import SystemProcess
from hornbeamstair_daemon.system.settings import SystemSettings
from hornbeamstair_daemon.system.wiring import get_seeds

__all__ = ('run_system_process',)

# The settings file may change without a SIGHUP.
_RELOAD_INTERVAL_SECONDS: Final = 2.0

SettingsReader = Callable[[], Result[SystemSettings, Failure]]


async def run_system_process(
    process: SystemProcess,
    read_settings: SettingsReader,
) -> None:
    """Serve until a stop signal, then finish the work in progress."""
    loop = get_running_loop()
    loop.set_exception_handler(_handle_loop_error)
    stop = Event()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stop.set)
    reload = Event()
    loop.add_signal_handler(SIGHUP, reload.set)
    await process.start()
    settings = process.settings
    log_event(DaemonStartedEvent(settings.label, settings.zone, 0))
    reload_task = create_task(
        repeat('settings', partial(_reload, process, read_settings, reload))
    )
    await stop.wait()
    log_event(DaemonStoppingEvent(settings.grace_seconds))
    reload_task.cancel()
    await process.stop()
    log_event(DaemonStoppedEvent(settings.label))


async def _reload(
    process: SystemProcess,
    read_settings: SettingsReader,
    reload: Event,
) -> float:
    with suppress(TimeoutError):
        async with timeout(_RELOAD_INTERVAL_SECONDS):
            await reload.wait()
    is_requested = reload.is_set()
    reload.clear()
    _apply_reloaded(process, read_settings(), is_requested=is_requested)
    return 0


def _apply_reloaded(
    process: SystemProcess,
    loaded: Result[SystemSettings, Failure],
    *,
    is_requested: bool,
) -> None:
    if loaded.is_error():
        log_event(SettingsReloadedEvent(loaded.error.describe()))
        return
    if loaded.ok.seeds != process.settings.seeds or is_requested:
        process.set_settings(loaded.ok)
        process.channel.targets.set_seeds(get_seeds(loaded.ok))
        log_event(SettingsReloadedEvent(''))


def _handle_loop_error(
    loop: AbstractEventLoop, context: dict[str, Any]
) -> None:
    if isinstance(context.get('exception'), InvariantError):
        abort()
    loop.default_exception_handler(context)
