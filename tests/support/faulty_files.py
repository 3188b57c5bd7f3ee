"""File operations of which chosen ones fail."""

import os
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from errno import EIO, ENOSPC
from functools import partial
from io import BufferedWriter, FileIO
from pathlib import Path
from typing import Any, Final
from unittest.mock import patch

from attrs import define, field

__all__ = ('FaultyFiles',)

_FILE_CLASS: Final = 'hornbeamstair_replicas.storage.file.FileIO'
_ERRORS: Final = (ENOSPC, EIO)
# Calls that take no effect where they fail.
_CALLS: Final = (
    (os, 'open'),
    (Path, 'replace'),
    (Path, 'unlink'),
)


@define(eq=False)
class FaultyFiles:
    """Counts the operations on files, and lets some of them fail."""

    # Takes the number of an operation, from 0.
    fails: Callable[[int], bool]
    # Called after each failure, with all operations working.
    handle_failure: Callable[[], Any] = lambda: None
    count: int = field(default=0, init=False)
    is_working: bool = field(default=False, init=False)
    # Files truncated and not synced since: a power loss may undo it.
    cuts: set[str] = field(factory=set, init=False)

    def count_call(self) -> None:
        """Count an operation; OSError if it fails."""
        if self.is_working:
            return
        number = self.count
        self.count += 1
        if not self.fails(number):
            return
        with self.work():
            self.handle_failure()
        raise OSError(_ERRORS[number % 2], f'operation {number} failed')

    @contextmanager
    def work(self) -> Iterator[None]:
        """Count no operations and let none fail."""
        was_working = self.is_working
        self.is_working = True
        try:
            yield
        finally:
            self.is_working = was_working

    @contextmanager
    def patch(self) -> Iterator[None]:
        """Apply to the storage of the log; syncs are counted, not made."""
        file_class = _make_file_class(self)

        open_unchanged = Path.open

        def open_path(  # noqa: WPS430
            path: Path, *args: Any, **options: Any
        ) -> Any:
            if args == ('wb',):
                return BufferedWriter(file_class(path, *args))
            return open_unchanged(path, *args, **options)

        with ExitStack() as stack:
            for owner, name in _CALLS:
                counted = _count(self, getattr(owner, name))
                stack.enter_context(patch.object(owner, name, counted))
            for name, call in (
                ('fsync', self._sync),
                ('fdatasync', self._sync),
                ('truncate', partial(self._truncate, os.truncate)),
            ):
                counted = _count(self, call)
                stack.enter_context(patch.object(os, name, counted))
            stack.enter_context(patch.object(Path, 'open', open_path))
            stack.enter_context(patch(_FILE_CLASS, file_class))
            yield

    def _truncate(
        self,
        truncate: Callable[[Path, int], None],
        path: Path,
        size: int,
    ) -> None:
        truncate(path, size)
        self.cuts.add(str(path))

    def _sync(self, descriptor: int) -> None:
        self.cuts.discard(str(Path(f'/proc/self/fd/{descriptor}').readlink()))


def _count(files: FaultyFiles, call: Callable[..., Any]) -> Any:
    def counted(*args: Any, **options: Any) -> Any:  # noqa: WPS430
        files.count_call()
        return call(*args, **options)

    return counted


def _make_file_class(files: FaultyFiles) -> type[FileIO]:
    class FaultyFile(FileIO):  # noqa: WPS431
        """File that may fail to open, be written in part, or fail to close."""

        def __init__(self, path: Path, mode: str) -> None:
            files.count_call()
            super().__init__(path, mode)

        def write(self, content: Any) -> int:
            """Write all; a failure leaves the first half."""
            try:
                files.count_call()
            except OSError:
                super().write(content[: len(content) // 2])
                raise
            return super().write(content)

        def close(self) -> None:
            """Close the file, also where that reports an error."""
            if not self.closed:
                super().close()
                files.count_call()

    return FaultyFile
