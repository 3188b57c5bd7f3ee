"""Faults that a stand-in upstream can simulate."""

from enum import Enum

__all__ = ('Fault',)


class Fault(Enum):
    """Fault that a stand-in upstream simulates on each call."""

    none = 'none'
    # Responds with status 500.
    fail_all = 'fail_all'
    # Reads the call and never responds.
    silent = 'silent'
    # Reads the call and closes the connection.
    close_after_read = 'close_after_read'
    # Closes the connection one byte before the announced length.
    half_answer = 'half_answer'
    # As half_answer, but closes some time after the last byte.
    late_close = 'late_close'
    # Closes the connection after a chunk that is not the last.
    no_last_chunk = 'no_last_chunk'
    # Responds with status 503 and states that the call was not run.
    refuse_not_run = 'refuse_not_run'
