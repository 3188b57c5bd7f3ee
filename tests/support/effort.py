"""Count of the work that the interpreter does for a call."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

from attrs import define


@define(eq=False)
class _LineCounter:
    """Tracer that counts the executed lines of all code."""

    lines: int = 0

    def trace(self, frame: FrameType, event: str, arg: Any) -> Any:
        """Count a line."""
        if event == 'line':
            self.lines += 1
        return self.trace


def count_lines(action: Callable[[], object]) -> int:
    """Count the lines that a call executes, on any machine the same."""
    counter = _LineCounter()
    former = sys.gettrace()
    sys.settrace(counter.trace)
    try:
        action()
    finally:
        sys.settrace(former)
    return counter.lines
