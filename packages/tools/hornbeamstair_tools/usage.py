"""CPU time and memory of a running process."""

from os import sysconf
from pathlib import Path
from typing import Final

from attrs import frozen

__all__ = ('ProcessUsage', 'get_usage')

# Fields of /proc/PID/stat, counted from 0 after the command name.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12
_BYTES_PER_KIB: Final = 1024


@frozen
class ProcessUsage:
    """CPU time used so far and resident memory of a process."""

    cpu_seconds: float
    memory_bytes: int


def get_usage(pid: int) -> ProcessUsage:
    """Read the usage of a process from /proc."""
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    status = (folder / 'status').read_text()
    resident = status.partition('VmRSS:')[2].split()[0]
    return ProcessUsage(
        cpu_seconds=ticks / sysconf('SC_CLK_TCK'),
        memory_bytes=int(resident) * _BYTES_PER_KIB,
    )
