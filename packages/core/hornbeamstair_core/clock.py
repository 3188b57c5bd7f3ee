"""Clocks of a process, read only by endpoints."""

from time import CLOCK_BOOTTIME, clock_gettime, time

from hornbeamstair_core.moments import Moment

__all__ = ('get_moment', 'get_steady_time', 'get_wall_time')


def get_steady_time() -> float:
    """Get seconds that also pass while the machine is suspended.

    A lease measured on a clock that stands still while the machine is
    suspended would seem valid after the machine wakes up.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def get_wall_time() -> float:
    """Get seconds since 1970, which may differ between machines."""
    return time()


def get_moment() -> Moment:
    """Get the present time on both clocks."""
    return Moment(get_steady_time(), get_wall_time())
