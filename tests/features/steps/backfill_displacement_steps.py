"""Steps with backfill on the workers that serving tasks need."""

from typing import Any

from attrs import evolve
from behave import then, when

from hornbeamstair_callers.jobs.crashes import Crash
from hornbeamstair_callers.jobs.messages import Phase
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import RunEnd
from tests.support.work_model import (
    MAX_CRASHES,
    RESOURCES,
    WorkModel,
    make_phase,
)

SERVING_JOB = JobId(f'{90:016x}')
BACKFILL_JOB = JobId(f'{91:016x}')
# One backfill task for each worker.
BACKFILL_MEMORY = 20000
CPU = 1300
TARGET_SECONDS = 0.08
SETTLING_SECONDS = 3


def _make_serving(count: int) -> Phase:
    return make_phase(
        count, CPU, lasts=True, max_away=count, target_seconds=TARGET_SECONDS
    )


def _accept_backfill(context: Any, count: int, max_away: int) -> None:
    work = context.work
    phase = make_phase(
        count,
        CPU,
        lasts=True,
        fills=True,
        max_away=max_away,
        memory=BACKFILL_MEMORY,
    )
    work.accept(BACKFILL_JOB, (phase,))
    work.run(SETTLING_SECONDS)
    running = _find_running(work, BACKFILL_JOB)
    assert len(running) == count, running
    context.settled_at = work.now


def _find_running(work: WorkModel, job: JobId) -> set[TaskId]:
    return {
        task
        for worker in work.workers.values()
        if not worker.is_partitioned
        for task in worker.runs
        if task.startswith(job)
    }


@when(
    '{serving:d} serving tasks run, and {count:d} backfill tasks on all other '
    'workers'
)
def run_both(context: Any, serving: int, count: int) -> None:
    """Start serving tasks, then backfill on the other workers."""
    work = context.work
    work.accept(SERVING_JOB, (_make_serving(serving),))
    work.run(1)
    assert len(_find_running(work, SERVING_JOB)) == serving, work.workers
    _accept_backfill(context, count, max_away=count)


@when('{count:d} backfill tasks run on all workers')
def run_backfill(context: Any, count: int) -> None:
    """Start backfill that may be stopped."""
    _accept_backfill(context, count, max_away=count)


@when(
    '{count:d} backfill tasks of which {away:d} may be unavailable run on all '
    'workers'
)
def run_limited(context: Any, count: int, away: int) -> None:
    """Start backfill of which few tasks may be stopped."""
    _accept_backfill(context, count, max_away=away)


@when('the worker of a serving task is partitioned')
def partition_serving(context: Any) -> None:
    """Partition the worker of the first serving task."""
    task = TaskId(f'{SERVING_JOB}.0.0.0')
    worker = next(
        worker
        for worker in context.work.workers.values()
        if task in worker.runs
    )
    worker.is_partitioned = True


@when('a job with {count:d} serving task is accepted')
@when('a job with {count:d} serving tasks is accepted')
def accept_serving(context: Any, count: int) -> None:
    """Accept serving tasks while backfill holds all workers."""
    context.work.accept(SERVING_JOB, (_make_serving(count),))


@when('a job with 1 serving task is accepted whose task is paused')
def accept_paused(context: Any) -> None:
    """Accept a serving task under which workers have just fallen silent."""
    work = context.work
    accept_serving(context, 1)
    job = work.tables.jobs.jobs[SERVING_JOB]
    task = TaskId(f'{SERVING_JOB}.0.0.0')
    for number in range(MAX_CRASHES):
        crash = Crash(WorkerId(f'w9{number}'), 1, work.now, is_early=True)
        job.crash_history.add(task, crash)
    assert job.crash_history.is_paused(task, work.now)


@when('a job with a serving task that {needs} is accepted')
def accept_unplaceable(context: Any, needs: str) -> None:
    """Accept a serving task that fits on no worker."""
    phase = _make_serving(1)
    room = evolve(RESOURCES, cpu=RESOURCES.cpu * 2)
    changes = (
        {'room': room} if needs == 'is larger than a worker' else {'label': 'b'}
    )
    changed = evolve(phase, needs=evolve(phase.needs, **changes))
    context.work.accept(SERVING_JOB, (changed,))


@then('both serving tasks run within {seconds:g} seconds')
def check_serving(context: Any, seconds: float) -> None:
    """Check that the serving tasks run on reachable workers."""
    work = context.work
    end = work.now + seconds
    while len(_find_running(work, SERVING_JOB)) < 2:
        assert work.now < end, 'a serving task does not run'
        work.step()


@then('the serving task has started once')
def check_started(context: Any) -> None:
    """Check the starts of the serving task."""
    starts = context.work.starts_by_task[TaskId(f'{SERVING_JOB}.0.0.0')]
    assert starts == 1, starts


@then('{count:d} backfill task has been stopped')
@then('{count:d} backfill tasks have been stopped')
def check_stopped(context: Any, count: int) -> None:
    """Check the recorded ends of the backfill tasks."""
    work = context.work
    work.run(SETTLING_SECONDS)
    # Workers may have refused a start before.
    stopped = [
        end.task
        for end in work.ends
        if end.task.startswith(BACKFILL_JOB)
        and end.end == RunEnd.lost
        and end.at > context.settled_at
    ]
    assert len(stopped) == count, stopped
