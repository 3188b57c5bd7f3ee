"""Cost of a call in executed lines of code."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

from attrs import define


@define(eq=False)
class _LineCounter:
    """Trace function that counts all executed lines."""

    lines: int = 0

    def trace(self, frame: FrameType, event: str, arg: Any) -> Any:
        """Count a line."""
        if event == 'line':
            self.lines += 1
        return self.trace


def count_lines(action: Callable[[], object]) -> int:
    """Count the lines that a call executes; independent of the machine."""
    counter = _LineCounter()
    previous = sys.gettrace()
    sys.settrace(counter.trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return counter.lines
