"""File operations that survive a loss of power."""

import os
from pathlib import Path

__all__ = ('replace_file', 'sync_path')


def replace_file(path: Path, temporary: Path, content: bytes) -> None:
    """Replace a file by way of a temporary one, at once or not at all."""
    with temporary.open('wb') as target:
        target.write(content)
        target.flush()
        os.fsync(target.fileno())
    temporary.replace(path)
    sync_path(path.parent)


def sync_path(path: Path) -> None:
    """Sync a file, or the names in a folder."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
