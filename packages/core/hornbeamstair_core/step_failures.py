"""Log of unexpected errors in one step of work that goes on."""

from collections.abc import Iterator
from contextlib import contextmanager
from traceback import extract_tb

from attrs import frozen

from hornbeamstair_core.events import (
    Event,
    EventLevel,
    log_event,
    register_event,
)
from hornbeamstair_core.invariants import InvariantError, abort

__all__ = ('StepFailedEvent', 'log_step_failure', 'logged_failure')


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


def log_step_failure(work: str, error: Exception) -> None:
    """Log an unexpected error, or abort on a violated invariant."""
    if isinstance(error, InvariantError):
        abort()
    frames = extract_tb(error.__traceback__)
    place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    log_event(StepFailedEvent(work, repr(error), place))


@contextmanager
def logged_failure(work: str, *errors: type[Exception]) -> Iterator[None]:
    """Log errors of some classes in place of raising them."""
    try:
        yield
    except errors as error:
        log_step_failure(work, error)
