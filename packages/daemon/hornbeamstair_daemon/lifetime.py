"""Start, periodic work and graceful stop of one process."""

from asyncio import AbstractEventLoop, Event, get_running_loop, sleep, timeout
from signal import SIGINT, SIGTERM
from time import monotonic
from typing import Any, Final

from hornbeamstair_core.events import log_event
from hornbeamstair_core.invariants import InvariantError, abort
from hornbeamstair_daemon.events import (
    DaemonStartedEvent,
    DaemonStoppedEvent,
    DaemonStoppingEvent,
)
from hornbeamstair_daemon.wiring import Process

__all__ = ('run_process',)

_EXPIRY_INTERVAL_SECONDS: Final = 0.25


async def run_process(process: Process) -> None:
    """Serve until a stop signal, then finish the requests in progress."""
    get_running_loop().set_exception_handler(_handle_loop_error)
    stop = Event()
    for signal in (SIGINT, SIGTERM):
        get_running_loop().add_signal_handler(signal, stop.set)
    await _start(process)
    await _serve(process, stop)
    await _stop(process)


def _handle_loop_error(
    loop: AbstractEventLoop, context: dict[str, Any]
) -> None:
    if isinstance(context.get('exception'), InvariantError):
        abort()
    loop.default_exception_handler(context)


async def _start(process: Process) -> None:
    await process.transport.start()
    process.control.start()
    process.keys.start()
    process.admin.start()
    for front_end in process.front_ends:
        await front_end.start()
    settings = process.settings
    revision = process.control_machine.state.revision
    log_event(
        DaemonStartedEvent(settings.process, settings.zone, revision),
    )


async def _serve(process: Process, stop: Event) -> None:
    while not stop.is_set():
        try:
            async with timeout(_EXPIRY_INTERVAL_SECONDS):
                await stop.wait()
        except TimeoutError:
            _expire_upstreams(process)


def _expire_upstreams(process: Process) -> None:
    process.directory.expire(monotonic())
    for event in process.directory.drain_events():
        log_event(event)
    for service in list(process.directory.by_service):
        process.runner.start_queued_calls(service)


async def _stop(process: Process) -> None:
    process.runner.is_ready = False
    balancer_seconds = process.settings.balancer_seconds
    log_event(DaemonStoppingEvent(balancer_seconds))
    await sleep(balancer_seconds)
    process.runner.is_stopping = True
    for front_end in reversed(process.front_ends):
        await front_end.stop()
    await process.runner.client.close()
    process.admin.stop()
    await process.keys.stop()
    await process.control.stop()
    await process.transport.stop()
    log_event(DaemonStoppedEvent(process.settings.process))
