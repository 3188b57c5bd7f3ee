"""Steps with a voter whose file operations fail one after the other."""

from asyncio import Runner
from collections import Counter
from collections.abc import Callable, Iterator
from shutil import rmtree
from typing import Any, Final

from attrs import define, field
from behave import then, when

from tests.support.disk_follower import DiskFollower
from tests.support.faulty_files import FaultyFiles
from tests.support.simulated_loop import SimulatedClock, SimulatedLoop
from tests.support.voters import PayloadLog

# Operations of one recovery, and of the snapshot that it writes again.
_SECOND_FAILURES: Final = 14
_SEGMENT_BYTES: Final = 150
_LONG_FAULTS: Final = (2, 3, 4, 8)


@when('a voter with segments of {size:d} bytes meets {faults}')
def play_faults(context: Any, size: int, faults: str) -> None:
    """Play the script once for each fault."""
    context.failures = Counter()
    context.plays = 0
    count = _play(context, size, lambda number: False)
    assert not context.failures, context.failures
    for first in range(count):
        for fails, name in _FAULTS[faults](first):
            _play(context, size, fails, name)
    assert context.plays > count, (context.plays, count)


@when('a voter restores a snapshot after a failed sync and meets an error')
def play_restore_error(context: Any) -> None:
    """Let each operation fail once, and the first restoration after it."""
    context.failures = Counter()
    context.plays = 0
    for first in range(_play(context, _SEGMENT_BYTES, lambda number: False)):
        _play(context, _SEGMENT_BYTES, {first}.__contains__, f'{first}', 1)


@then('it takes part again each time and keeps what it has acknowledged')
def check_faults(context: Any) -> None:
    """Check that no play has failed."""
    assert not context.failures, (
        f'{len(context.failures)} of {context.plays} plays: '
        f'{context.failures.most_common(5)}'
    )


@define
class _FailingRestore(PayloadLog):
    """State machine that meets errors while it restores a snapshot."""

    errors: int = field(default=0, kw_only=True)

    def restore(self, state: bytes) -> None:
        """Restore the payloads, or meet an error."""
        if self.errors:
            self.errors -= 1
            raise ValueError('the snapshot is not restored')
        super().restore(state)


def _fail_twice(first: int) -> Iterator[tuple[Callable[[int], bool], str]]:
    for later in range(_SECOND_FAILURES):
        failing = {first, first + later}
        yield failing.__contains__, f'{failing}'


def _fail_for_long(first: int) -> Iterator[tuple[Callable[[int], bool], str]]:
    for length in _LONG_FAULTS:
        failing = range(first, first + length)
        yield failing.__contains__, f'{failing}'


_FAULTS: Final = {
    'two failures of file operations': _fail_twice,
    'a row of failures of file operations': _fail_for_long,
}


def _play(
    context: Any,
    size: int,
    fails: Callable[[int], bool],
    name: str = 'none',
    errors: int = 0,
) -> int:
    clock = SimulatedClock()
    folder = context.world.folder / 'log'
    files = FaultyFiles(fails)
    follower = DiskFollower(
        folder, size, clock, files, _FailingRestore(errors=errors)
    )
    files.handle_failure = follower.handle_failure
    folder.mkdir()
    try:
        with files.patch():
            with Runner(loop_factory=lambda: SimulatedLoop(clock)) as runner:
                runner.run(follower.play())
            with files.work():
                follower.check_stored()
        assert follower.stuck is None, follower.stuck
        assert len(follower.errors) <= errors, follower.errors
    except Exception as error:
        context.failures[f'{name}: {error!r}'[:400]] += 1
    context.plays += 1
    rmtree(folder, ignore_errors=True)
    rmtree(f'{folder}-copy', ignore_errors=True)
    return files.count
