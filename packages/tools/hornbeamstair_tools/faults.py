"""Faults that the stand-in upstream can show."""

from enum import Enum

__all__ = ('Fault',)


class Fault(Enum):
    """Way in which the stand-in upstream misbehaves."""

    none = 'none'
    fail_all = 'fail_all'
    silent = 'silent'
    close_after_read = 'close_after_read'
    half_answer = 'half_answer'
    refuse_not_run = 'refuse_not_run'
