"""Invariants that the program asserts while it runs."""

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
    """Broken invariant; the process must stop."""


@register_event
@frozen
class InvariantEvent(Event):
    """Invariant found broken."""

    number = 1001
    name = 'invariant_broken'
    summary = 'An invariant is broken; the process stops.'
    level = EventLevel.error

    invariant: str
    details: str


def check_invariant(holds: bool, invariant: str, details: str) -> None:
    """Log and raise InvariantError if an invariant does not hold."""
    if not holds:
        log_event(InvariantEvent(invariant=invariant, details=details))
        raise InvariantError(f'{invariant}: {details}')


def abort() -> None:
    """Stop the process at once, without finishing any request."""
    raise_signal(SIGABRT)
