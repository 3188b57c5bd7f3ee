"""Start, reload and planned stop of a process of the system."""

from asyncio import (
    AbstractEventLoop,
    Event,
    create_task,
    get_running_loop,
    timeout,
)
from collections.abc import Callable
from contextlib import suppress
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Any, Final

from expression import Result

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
from hornbeamstair_daemon.system.wiring import get_contacts

__all__ = ('run_system_process',)

# The settings may change without a signal.
_RELOAD_SECONDS: Final = 2.0

SettingsReader = Callable[[], Result[SystemSettings, Failure]]


async def run_system_process(
    process: SystemProcess,
    read_settings: SettingsReader,
) -> None:
    """Serve until a stop signal, then finish what is in progress."""
    loop = get_running_loop()
    loop.set_exception_handler(_handle_error)
    stop = Event()
    for signal in (SIGINT, SIGTERM):
        loop.add_signal_handler(signal, stop.set)
    reload = Event()
    loop.add_signal_handler(SIGHUP, reload.set)
    await process.start()
    settings = process.settings
    log_event(DaemonStartedEvent(settings.label, settings.zone, 0))
    reloading = create_task(_keep_reloading(process, read_settings, reload))
    await stop.wait()
    log_event(DaemonStoppingEvent(settings.grace_seconds))
    reloading.cancel()
    await process.stop()
    log_event(DaemonStoppedEvent(settings.label))


async def _keep_reloading(
    process: SystemProcess,
    read_settings: SettingsReader,
    reload: Event,
) -> None:
    while True:
        with suppress(TimeoutError):
            async with timeout(_RELOAD_SECONDS):
                await reload.wait()
        is_asked = reload.is_set()
        reload.clear()
        _reload(process, read_settings(), is_asked=is_asked)


def _reload(
    process: SystemProcess,
    found: Result[SystemSettings, Failure],
    *,
    is_asked: bool,
) -> None:
    if found.is_error():
        log_event(SettingsReloadedEvent(found.error.describe()))
        return
    if found.ok.seeds != process.settings.seeds or is_asked:
        process.put_seeds(found.ok)
        process.channel.targets.put_contacts(get_contacts(found.ok))
        log_event(SettingsReloadedEvent(''))


def _handle_error(loop: AbstractEventLoop, context: dict[str, Any]) -> None:
    if isinstance(context.get('exception'), InvariantError):
        abort()
    loop.default_exception_handler(context)
