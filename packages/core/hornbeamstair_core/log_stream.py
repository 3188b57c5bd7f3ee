"""Log stream that is bounded and never waits for its reader."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_core.units import KIB

__all__ = ('EventBudget', 'NonBlockingStream')

# A reader that stalls for some seconds loses no line at the usual rate.
_BUFFER_BYTES: Final = 512 * KIB  # noqa: WPS432
_BURST_LINES: Final = 400.0
_LINES_PER_SECOND: Final = 150.0


@define(eq=False)
class EventBudget:
    """Token bucket for each event; counts the lines that were left out."""

    burst: float = _BURST_LINES
    per_second: float = _LINES_PER_SECOND
    buckets: dict[int, tuple[float, float]] = field(factory=dict)
    left_out: dict[int, int] = field(factory=dict)

    def take(self, number: int, now: float) -> bool:
        """Tell whether a line of an event may be written now."""
        tokens, filled_at = self.buckets.get(number, (self.burst, now))
        tokens = min(self.burst, tokens + (now - filled_at) * self.per_second)
        is_allowed = tokens >= 1
        if is_allowed:
            tokens -= 1
        else:
            self.note_left_out(number)
        self.buckets[number] = (tokens, now)
        return is_allowed

    def note_left_out(self, number: int, lines: int = 1) -> None:
        """Count lines of an event that were left out."""
        self.left_out[number] = self.left_out.get(number, 0) + lines

    def pop_left_out(self, number: int) -> int:
        """Get and clear the count of lines of an event left out."""
        return self.left_out.pop(number, 0)


@define(eq=False)
class NonBlockingStream:
    """Lines for a file descriptor; whole lines are dropped when it stalls."""

    descriptor: int
    write_bytes: Callable[[int, bytes], int] = os.write
    limit_bytes: int = _BUFFER_BYTES
    lines: 'deque[bytes]' = field(factory=deque)
    held_bytes: int = 0
    dropped: int = 0

    def write(self, line: bytes) -> bool:
        """Write a line, or keep it; tell whether it was not dropped."""
        if self.held_bytes + len(line) > self.limit_bytes:
            self.dropped += 1
            return False
        self.lines.append(line)
        self.held_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what is held as far as the reader takes it."""
        while self.lines:
            line = self.lines.popleft()
            try:
                written = self.write_bytes(self.descriptor, line)
            except BlockingIOError:
                self.lines.appendleft(line)
                return
            except OSError:
                # The reader is gone: there is nobody to tell.
                self.dropped += 1
                written = len(line)
            self.held_bytes -= written
            if written < len(line):
                self.lines.appendleft(line[written:])
                return
