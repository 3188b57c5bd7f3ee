"""Estimate of a worker's clock from its answers."""

from typing import Final

from attrs import define

__all__ = ('WorkerClock',)

# Minimum rate of a worker's clock relative to the local one.
_MIN_CLOCK_RATE: Final = 0.98
# An answer and the last reading may have been on their way for this time.
_EARLY_SECONDS: Final = 0.1
_LATE_SECONDS: Final = 0.8


@define(eq=False)
class WorkerClock:
    """Last reading of a worker's clock and its arrival time, in seconds."""

    reading: float
    received_at: float

    def update(self, reading: float, received_at: float) -> None:
        """Store a reading unless it is below the current lower bound."""
        if reading >= self.get_lowest_reading(received_at):
            self.reading = reading
            self.received_at = received_at

    def get_lowest_reading(self, now: float) -> float:
        """Return the lower bound of the worker's clock at a local time."""
        return self.reading + (now - self.received_at) * _MIN_CLOCK_RATE

    def may_show(self, reading: float, now: float) -> bool:
        """Return whether the clock may have shown a reading just now.

        The clock of another incarnation starts anew.
        """
        earliest = self.get_lowest_reading(now) - _EARLY_SECONDS
        latest = self.reading + now - self.received_at + _LATE_SECONDS
        return earliest <= reading <= latest

    def get_latest_local_time(self, clock: float) -> float:
        """Return the local time by which the worker's clock shows a time."""
        return self.received_at + (clock - self.reading) / _MIN_CLOCK_RATE
