"""Current time, as passed to decision logic."""

from attrs import frozen

__all__ = ('Moment',)


@frozen
class Moment:
    """Monotonic time and wall-clock time, in seconds."""

    monotonic: float
    wall: float
