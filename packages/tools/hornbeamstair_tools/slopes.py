"""Measurement of slopes: processor time and memory per item."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from time import process_time
from typing import Any, Final

from attrs import frozen

__all__ = ('Slope', 'get_cpu_slope', 'get_memory_slope', 'get_rows')

_MICROSECONDS: Final = 1000000
_REPEATS: Final = 5


@frozen
class Slope:
    """Figure per item, with its unit."""

    name: str
    figure: float
    unit: str


def get_cpu_slope(
    name: str, work: Callable[[int], object], count: int
) -> Slope:
    """Measure the processor time per item; the best of several runs."""
    seconds = min(_time(work, count) for _ in range(_REPEATS))
    return Slope(name, seconds * _MICROSECONDS / count, 'us')


def get_memory_slope(
    name: str,
    make: Callable[[int], Any],
    count: int,
) -> Slope:
    """Measure the memory that each item of a structure holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [make(count)]
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # The structure must live until the memory was read.
    kept.clear()
    return Slope(name, (after - before) / count, 'B')


def _time(work: Callable[[int], object], count: int) -> float:
    started = process_time()
    work(count)
    return process_time() - started


def get_rows(slopes: list[Slope]) -> Iterator[str]:
    """Get one line of a table for each slope."""
    for slope in slopes:
        yield f'| {slope.name} | {slope.figure:,.1f} | {slope.unit} |'
