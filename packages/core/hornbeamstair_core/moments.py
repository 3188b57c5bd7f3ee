"""Present time as decisions receive it."""

from attrs import frozen

__all__ = ('Moment',)


@frozen
class Moment:
    """Seconds of the steady clock and of the time of day."""

    steady: float
    wall: float
