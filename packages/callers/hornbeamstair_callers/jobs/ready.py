"""Tasks of a job that can start now."""

from collections.abc import Iterator
from itertools import takewhile

from attrs import frozen

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import (
    Phase,
    PhaseKey,
    make_task_id,
)
from hornbeamstair_core.ids import TaskId

__all__ = ('ReadyPhase', 'find_ready')


@frozen
class ReadyPhase:
    """Tasks of a phase that are neither done nor running."""

    key: PhaseKey
    phase: Phase
    phase_id: str
    tasks: tuple[TaskId, ...]


def find_ready(job: Job, wall: float) -> list[ReadyPhase]:
    """Find the tasks that can start at a wall-clock time."""
    if not job.is_open:
        return []
    due = takewhile(
        lambda occurrence: job.spec.get_due(occurrence) <= wall,
        range(job.spec.occurrences),
    )
    return [
        ready
        for occurrence in due
        for ready in _find_in_occurrence(job, occurrence)
    ]


def _find_in_occurrence(job: Job, occurrence: int) -> Iterator[ReadyPhase]:
    for number, phase in enumerate(job.spec.phases):
        if _is_phase_ready(job, occurrence, number):
            key = PhaseKey(job.spec.job, occurrence, number)
            tasks = tuple(_find_unstarted_tasks(job, key, phase))
            # A gang starts as a whole, once none of its members runs.
            is_whole = not phase.is_gang or len(tasks) == phase.count
            if tasks and is_whole:
                yield ReadyPhase(key, phase, key.phase_id, tasks)


def _is_phase_ready(job: Job, occurrence: int, number: int) -> bool:
    """Return whether a phase is not done and those before it are."""
    if job.is_phase_done(occurrence, number):
        return False
    return all(
        job.is_phase_done(occurrence, before)
        for before in job.spec.phases[number].after
    )


def _find_unstarted_tasks(
    job: Job,
    key: PhaseKey,
    phase: Phase,
) -> Iterator[TaskId]:
    for index in range(phase.count):
        task_id = make_task_id(key, index)
        task = job.get_task(task_id)
        if not task.is_done and not task.worker:
            yield task_id
