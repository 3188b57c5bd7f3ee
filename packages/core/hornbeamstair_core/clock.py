"""Clocks of a process; decision logic receives the time and reads none."""

from time import CLOCK_BOOTTIME, clock_gettime, time

from hornbeamstair_core.moments import Moment

__all__ = ('get_moment', 'get_monotonic_time', 'get_wall_time')


def get_monotonic_time() -> float:
    """Get the monotonic time in seconds, including time in suspend.

    On a clock that stops during suspend, an expired lease would seem valid
    after the machine resumes.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def get_wall_time() -> float:
    """Get the seconds since the Unix epoch; machines may disagree."""
    return time()


def get_moment() -> Moment:
    """Get the current time of both clocks."""
    return Moment(get_monotonic_time(), get_wall_time())
