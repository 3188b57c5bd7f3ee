"""Numbers of calls, which the answers repeat."""

from random import randrange
from typing import Final

from attrs import define, field

from hornbeamstair_core.units import MAX_EXACT_INTEGER

__all__ = ('CallNumbers',)

_FIRST_NUMBERS: Final = MAX_EXACT_INTEGER // 2


@define(eq=False)
class CallNumbers:
    """Numbers of the calls of one process.

    Answers to a previous process with the same identifier, which may arrive
    after a restart, have other numbers.
    """

    last_number: int = field(
        factory=lambda: randrange(_FIRST_NUMBERS),
        init=False,
    )

    def take(self) -> int:
        """Take the number of the next call."""
        self.last_number += 1
        return self.last_number
