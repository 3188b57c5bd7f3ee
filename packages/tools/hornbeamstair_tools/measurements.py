"""Measurements of CPU time and memory per item."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from time import process_time
from typing import Any, Final

from attrs import frozen

__all__ = ('Measurement', 'format_rows', 'measure_cpu_time', 'measure_memory')

_MICROSECONDS_PER_SECOND: Final = 1000000
_REPEATS: Final = 5


@frozen
class Measurement:
    """Measured value with its name and unit."""

    name: str
    value: float
    unit: str


def measure_cpu_time(
    name: str, work: Callable[[int], object], count: int
) -> Measurement:
    """Measure the CPU time per item; the best of several runs."""
    seconds = min(_time(work, count) for _ in range(_REPEATS))
    return Measurement(name, seconds * _MICROSECONDS_PER_SECOND / count, 'us')


def measure_memory(
    name: str,
    make: Callable[[int], Any],
    count: int,
) -> Measurement:
    """Measure the bytes that a structure allocates per item."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [make(count)]
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # Keeps the structure alive until its memory has been read.
    kept.clear()
    return Measurement(name, (after - before) / count, 'B')


def _time(work: Callable[[int], object], count: int) -> float:
    started = process_time()
    work(count)
    return process_time() - started


def format_rows(measurements: list[Measurement]) -> Iterator[str]:
    """Yield a row of a Markdown table for each measurement."""
    for measurement in measurements:
        yield (
            f'| {measurement.name} | {measurement.value:,.1f} '
            f'| {measurement.unit} |'
        )
