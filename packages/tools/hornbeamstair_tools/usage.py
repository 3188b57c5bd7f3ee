"""Processor time and memory of a running process."""

from os import sysconf
from pathlib import Path
from typing import Final

from attrs import frozen

__all__ = ('ProcessUsage', 'get_usage')

_USER_FIELD: Final = 11
_SYSTEM_FIELD: Final = 12
_KIB: Final = 1024


@frozen
class ProcessUsage:
    """Processor time and memory that a process has used so far."""

    cpu_seconds: float
    memory_bytes: int


def get_usage(pid: int) -> ProcessUsage:
    """Read the use of a process from the kernel."""
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    status = (folder / 'status').read_text()
    resident = status.partition('VmRSS:')[2].split()[0]
    return ProcessUsage(
        cpu_seconds=ticks / sysconf('SC_CLK_TCK'),
        memory_bytes=int(resident) * _KIB,
    )
