"""Validation of a job before it is accepted."""

import re
from collections.abc import Iterator
from math import isfinite
from typing import Final

from expression import Error, Ok, Result

from hornbeamstair_callers.jobs.messages import JobSpec, Phase
from hornbeamstair_core.failures import Failure, InvalidFieldFailure

__all__ = ('check_job',)

# The separator of task identifiers, a dot, is not allowed.
_JOB_PATTERN: Final = re.compile('[0-9A-Za-z_-]{1,64}')
# The leader holds an identifier for each ready task in memory.
_MAX_TASKS: Final = 100_000
# The leader examines each phase of each occurrence that is due.
_MAX_PHASES: Final = 10_000


def check_job(spec: JobSpec) -> Result[JobSpec, Failure]:
    """Refuse a job that cannot be scheduled, with its first problem."""
    problem = next(_find_problems(spec), None)
    if problem is not None:
        return Error(InvalidFieldFailure(*problem))
    return Ok(spec)


def _find_problems(spec: JobSpec) -> Iterator[tuple[str, str]]:
    if not _JOB_PATTERN.fullmatch(spec.job):
        yield 'job', 'must be 1 to 64 letters, digits, "_" or "-"'
    if not spec.phases:
        yield 'phases', 'must not be empty'
    for number, phase in enumerate(spec.phases):
        yield from _find_phase_problems(number, phase)
    if spec.repeat_count < 0:
        yield 'repeat_count', 'must not be negative'
    if len(spec.phases) * spec.occurrences > _MAX_PHASES:
        yield 'phases', f'must not exceed {_MAX_PHASES} in all occurrences'
    tasks = sum(phase.count for phase in spec.phases) * spec.occurrences
    if tasks > _MAX_TASKS:
        yield 'phases', f'must not have more than {_MAX_TASKS} tasks'
    for name, seconds in (
        ('first_due', spec.first_due),
        ('interval_seconds', spec.interval_seconds),
    ):
        if not isfinite(seconds) or seconds < 0:
            yield name, 'must be a finite number, and not negative'


def _find_phase_problems(
    number: int,
    phase: Phase,
) -> Iterator[tuple[str, str]]:
    path = f'phases[{number}]'
    if phase.count < 1:
        yield f'{path}.count', 'must be positive'
    if not all(before in range(number) for before in phase.after):
        yield f'{path}.after', 'must name earlier phases'
    needs = phase.needs
    room = needs.room
    if min(room.cpu, room.memory, room.accelerators) < 0:
        yield f'{path}.needs.room', 'must not be negative'
    if not isfinite(needs.estimate_seconds) or needs.estimate_seconds < 0:
        yield f'{path}.needs.estimate_seconds', 'must be finite'
