"""Findings about a manifest that has not been sent yet."""

from enum import IntEnum

from attrs import frozen

__all__ = ('Finding', 'Severity')


class Severity(IntEnum):
    """Kinds of findings, the worst first."""

    # The manifest is refused.
    error = 0
    # The manifest is accepted, but limits contradict each other.
    contradiction = 1
    # An entry can never match anything.
    unmatched = 2
    # Callers lose something that the manifest in force gives them.
    loss = 3
    # Any other difference from the manifest in force.
    change = 4


@frozen
class Finding:
    """Finding about one field of a manifest."""

    severity: Severity
    path: str
    reason: str
    # Line of the field in the file, 0 if unknown.
    line: int = 0
