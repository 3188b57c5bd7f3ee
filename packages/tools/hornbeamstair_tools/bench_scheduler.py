"""Benchmark of the decisions of the leader by the number of workers."""

import gc
from collections.abc import Callable, Iterable, Iterator
from time import process_time
from typing import Final

from hornbeamstair_tools.scheduler_load import (
    ENTRY_RECORDS,
    STARTED_TASKS,
    TICKS,
    SchedulerLoad,
)

__all__ = ('main',)

_SIZES: Final = (300, 1000, 3000)
_MICROSECONDS: Final = 1000000
_REPEATS: Final = 3


def measure(worker_count: int) -> dict[str, float]:
    """Measure the processor time of each kind of work, in microseconds."""
    load = SchedulerLoad(worker_count)
    figures: dict[str, list[float]] = {}
    gc.disable()
    for _ in range(_REPEATS):
        for name, work, count in _get_work(load):
            seconds = _time(work)
            figures.setdefault(name, []).append(seconds * _MICROSECONDS / count)
        gc.collect()
    gc.enable()
    return {name: min(seconds) for name, seconds in figures.items()}


def _get_work(
    load: SchedulerLoad,
) -> Iterator[tuple[str, Callable[[], None], int]]:
    yield 'idle poll', load.poll_all, load.worker_count
    yield 'start of a task', load.start_jobs, STARTED_TASKS
    yield 'poll while tasks run', load.poll_all, load.worker_count
    yield 'end of a task', load.end_jobs, STARTED_TASKS
    yield 'announcement', load.announce_all, load.worker_count
    yield 'commit, per record', load.commit, ENTRY_RECORDS
    yield 'tick', load.run_ticks, TICKS
    yield 'draining pass', load.drain, 1
    yield 'pass over the pools', load.plan_moves, 1


def _time(work: Callable[[], None]) -> float:
    started = process_time()
    work()
    return process_time() - started


def main() -> None:
    """Print a table of the processor time of each kind of work."""
    figures = [measure(size) for size in _SIZES]
    _print_row(('microseconds', *(f'{size:,} workers' for size in _SIZES)))
    _print_row(('---',) * (len(_SIZES) + 1))
    for name in figures[0]:
        _print_row((name, *(f'{figure[name]:,.1f}' for figure in figures)))


def _print_row(cells: Iterable[str]) -> None:
    print(f'| {" | ".join(cells)} |', flush=True)


if __name__ == '__main__':
    main()
