"""Estimate of a worker's clock from what it answers."""

from typing import Final

from attrs import define

__all__ = ('WorkerClock',)

# The clock of a worker may run so much slower than ours.
_SLOW_SHARE: Final = 0.98


@define(eq=False)
class WorkerClock:
    """Reading of a worker's clock and when it was received, in seconds."""

    reading: float
    received_at: float

    def note(self, reading: float, received_at: float) -> None:
        """Note a newer reading."""
        if reading >= self.get_earliest(received_at):
            self.reading = reading
            self.received_at = received_at

    def get_earliest(self, now: float) -> float:
        """Get the lowest that the worker's clock can show now."""
        return self.reading + (now - self.received_at) * _SLOW_SHARE

    def get_surely_past(self, clock: float) -> float:
        """Get our time at which the worker's clock surely shows a time."""
        return self.received_at + (clock - self.reading) / _SLOW_SHARE
