"""Invariants that are checked at run time."""

from signal import SIGABRT, raise_signal

from attrs import frozen

from hornbeamstair_core.events import (
    Event,
    EventLevel,
    log_event,
    register_event,
)

__all__ = ('InvariantError', 'InvariantEvent', 'abort', 'check_invariant')


class InvariantError(Exception):
    """Violated invariant; the process must stop."""


@register_event
@frozen
class InvariantEvent(Event):
    """Violated invariant."""

    number = 1001
    name = 'invariant_broken'
    summary = 'An invariant is violated; the process stops.'
    level = EventLevel.error

    invariant: str
    details: str


def check_invariant(holds: bool, invariant: str, details: str) -> None:
    """Log an event and raise InvariantError if an invariant is violated."""
    if not holds:
        log_event(InvariantEvent(invariant=invariant, details=details))
        raise InvariantError(f'{invariant}: {details}')


def abort() -> None:
    """Abort the process without finishing any request."""
    raise_signal(SIGABRT)
