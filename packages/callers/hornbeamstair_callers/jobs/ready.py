"""Tasks of a job that may start now."""

from collections.abc import Iterator

from attrs import frozen

from hornbeamstair_callers.jobs.messages import (
    Phase,
    PhaseKey,
    make_task_id,
)
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_core.ids import TaskId

__all__ = ('ReadyPhase', 'find_ready')


@frozen
class ReadyPhase:
    """Tasks of a phase that are neither done nor running."""

    key: PhaseKey
    phase: Phase
    group: str
    tasks: tuple[TaskId, ...]


def find_ready(job: Job, wall: float) -> list[ReadyPhase]:
    """Find the tasks whose turn has come at a wall-clock time."""
    if not job.is_open:
        return []
    return [
        ready
        for occurrence in range(job.spec.occurrences)
        if job.spec.get_due(occurrence) <= wall
        for ready in _find_in_occurrence(job, occurrence)
    ]


def _find_in_occurrence(job: Job, occurrence: int) -> Iterator[ReadyPhase]:
    for number, phase in enumerate(job.spec.phases):
        if _is_due(job, occurrence, number):
            key = PhaseKey(job.spec.job, occurrence, number)
            tasks = tuple(_find_waiting(job, key, phase))
            # A gang starts as a whole, once no member is at work.
            is_whole = not phase.is_gang or len(tasks) == phase.count
            if tasks and is_whole:
                yield ReadyPhase(key, phase, key.group, tasks)


def _is_due(job: Job, occurrence: int, number: int) -> bool:
    """Tell whether the turn of a phase has come and it is not done."""
    if job.is_phase_done(occurrence, number):
        return False
    return all(
        job.is_phase_done(occurrence, before)
        for before in job.spec.phases[number].after
    )


def _find_waiting(
    job: Job,
    key: PhaseKey,
    phase: Phase,
) -> Iterator[TaskId]:
    for index in range(phase.count):
        task_id = make_task_id(key, index)
        task = job.get_task(task_id)
        if not task.is_done and not task.worker:
            yield task_id
