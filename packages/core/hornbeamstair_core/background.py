"""Repeated background work that goes on after unexpected errors."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from typing import Final

from hornbeamstair_core.step_failures import log_step_failure

__all__ = ('repeat',)

# Bounds the load of a step that fails each time.
_ERROR_PAUSE_SECONDS: Final = 0.25


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
