"""Non-blocking, bounded stream of log lines and its rate limiter."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_core.units import KIB

__all__ = ('EventRateLimiter', 'NonBlockingStream')

# Holds the lines of a few seconds at the usual rate while the reader stalls.
_BUFFER_BYTES: Final = 512 * KIB  # noqa: WPS432
_BURST_LINES: Final = 400.0
_LINES_PER_SECOND: Final = 150.0


@define(eq=False)
class EventRateLimiter:
    """Token bucket for each event, which counts the dropped lines."""

    burst: float = _BURST_LINES
    per_second: float = _LINES_PER_SECOND
    buckets: dict[int, tuple[float, float]] = field(factory=dict)
    dropped_lines: dict[int, int] = field(factory=dict)

    def take(self, number: int, now: float) -> bool:
        """Return whether a line of an event may be written now."""
        tokens, filled_at = self.buckets.get(number, (self.burst, now))
        tokens = min(self.burst, tokens + (now - filled_at) * self.per_second)
        is_allowed = tokens >= 1
        if is_allowed:
            tokens -= 1
        else:
            self.add_dropped(number)
        self.buckets[number] = (tokens, now)
        return is_allowed

    def add_dropped(self, number: int, lines: int = 1) -> None:
        """Count dropped lines of an event."""
        self.dropped_lines[number] = self.dropped_lines.get(number, 0) + lines

    def pop_dropped(self, number: int) -> int:
        """Return and reset the number of dropped lines of an event."""
        return self.dropped_lines.pop(number, 0)


@define(eq=False)
class NonBlockingStream:
    """Buffered writer of lines to a non-blocking file descriptor.

    While the reader stalls and the buffer is full, whole lines are dropped.
    """

    descriptor: int
    write_bytes: Callable[[int, bytes], int] = os.write
    limit_bytes: int = _BUFFER_BYTES
    lines: 'deque[bytes]' = field(factory=deque)
    buffered_bytes: int = 0
    dropped: int = 0

    def write(self, line: bytes) -> bool:
        """Write or buffer a line; return False if it was dropped."""
        if self.buffered_bytes + len(line) > self.limit_bytes:
            self.dropped += 1
            return False
        self.lines.append(line)
        self.buffered_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self.lines:
            line = self.lines.popleft()
            try:
                written = self.write_bytes(self.descriptor, line)
            except BlockingIOError:
                self.lines.appendleft(line)
                return
            except OSError:
                # The reader is closed, so the error cannot be logged.
                self.dropped += 1
                written = len(line)
            self.buffered_bytes -= written
            if written < len(line):
                self.lines.appendleft(line[written:])
                return
