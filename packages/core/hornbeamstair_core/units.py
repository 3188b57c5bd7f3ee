"""Sizes in bytes, time spans in seconds and their conversion."""

from typing import Final

__all__ = (
    'DAY',
    'HOUR',
    'KIB',
    'MAX_EXACT_INTEGER',
    'MIB',
    'MILLISECOND',
    'MINUTE',
    'to_milliseconds',
)

MILLISECOND: Final = 0.001
MINUTE: Final = 60.0
HOUR: Final = 3600.0
DAY: Final = 86400.0

KIB: Final = 1024
MIB: Final = 1024 * 1024

# Largest integer that every JSON library represents exactly.
MAX_EXACT_INTEGER: Final = 9007199254740991


def to_milliseconds(seconds: float) -> int:
    """Round a time span to whole milliseconds."""
    return round(seconds / MILLISECOND)
