"""Repeated background work that goes on after unexpected errors."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from traceback import extract_tb
from typing import Final

from attrs import frozen

from hornbeamstair_core.events import (
    Event,
    EventLevel,
    log_event,
    register_event,
)
from hornbeamstair_core.invariants import InvariantError, abort

__all__ = ('StepFailedEvent', 'log_step_failure', 'repeat')

# Bounds the load of a step that fails each time.
_ERROR_PAUSE_SECONDS: Final = 0.25


@register_event
@frozen
class StepFailedEvent(Event):
    """Unexpected error in a step of background work."""

    number = 1004
    name = 'step_failed'
    summary = 'A step of background work failed; the work goes on.'
    level = EventLevel.error

    work: str
    reason: str
    place: str


async def repeat(work: str, step: Callable[[], Awaitable[float]]) -> None:
    """Repeat a step, which returns the seconds until the next one.

    A violated invariant aborts the process; any other error is logged.
    """
    while True:
        try:
            pause = await step()
        except Exception as error:
            log_step_failure(work, error)
            pause = _ERROR_PAUSE_SECONDS
        await sleep(pause)


def log_step_failure(work: str, error: Exception) -> None:
    """Log an unexpected error, or abort on a violated invariant."""
    if isinstance(error, InvariantError):
        abort()
    frames = extract_tb(error.__traceback__)
    place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    log_event(StepFailedEvent(work, repr(error), place))
