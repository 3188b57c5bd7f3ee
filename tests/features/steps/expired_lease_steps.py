"""Steps on workers that are silent until the leases of their runs expire."""

from typing import Any

from behave import then, when

from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_core.ids import JobId, TaskId
from tests.support.work_model import (
    ModelWorker,
    WorkModel,
    make_phase,
    pause_leader,
)

# Apart from the jobs that other steps accept.
FIRST_LONG_RUNNING = 2000
# Longer than the cuts and the pauses of a task between them.
MAX_STEPS = 2000


@when(
    'all workers are cut off for {cut:g} seconds each {period:g} seconds, '
    '{count:d} times'
)
def cut_in_series(context: Any, cut: float, period: float, count: int) -> None:
    """Cut off all workers again and again."""
    work = context.work
    for _ in range(count):
        for cut_worker in work.workers.values():
            cut_worker.is_partitioned = True
        work.run(cut)
        for joined_worker in work.workers.values():
            joined_worker.is_partitioned = False
        work.run(period - cut)


@when(
    'the leader is paused for {pause:g} seconds each {period:g} seconds, '
    '{count:d} times'
)
def pause_again(context: Any, pause: float, period: float, count: int) -> None:
    """Let time pass for the workers alone, again and again."""
    work = context.work
    for _ in range(count):
        pause_leader(work, pause)
        work.run(period - pause)


@when('{count:d} jobs of {tasks:d} long-running tasks are accepted')
def accept_long_running(context: Any, count: int, tasks: int) -> None:
    """Accept long-running jobs."""
    for number in range(FIRST_LONG_RUNNING, FIRST_LONG_RUNNING + count):
        phase = make_phase(tasks, 3000, lasts=True)
        context.work.accept(JobId(f'{number:016x}'), (phase,))


@when(
    'the worker of its first task is cut off {delay:g} seconds after each '
    'start for {cut:g} seconds, {count:d} times'
)
def cut_first(context: Any, delay: float, cut: float, count: int) -> None:
    """Cut off the worker of the first task after each of its starts."""
    work = context.work
    task = TaskId(f'{"1" * 16}.0.0.0')
    joins_at: dict[str, float] = {}
    for _ in range(MAX_STEPS):
        worker = _find_reachable(work, task)
        if worker is not None and len(joins_at) < count:
            work.run(delay)
            worker.is_partitioned = True
            joins_at[worker.worker] = work.now + cut
        work.step()
        _join(work, joins_at)


@then('no job has failed')
def check_no_failure(context: Any) -> None:
    """Check the states of all jobs."""
    jobs = context.work.tables.jobs.jobs.values()
    failed = [job.spec.job for job in jobs if job.state == JobState.failed]
    assert not failed, failed


def _find_reachable(work: WorkModel, task: TaskId) -> ModelWorker | None:
    for worker in work.workers.values():
        if task in worker.runs and not worker.is_partitioned:
            return worker
    return None


def _join(work: WorkModel, joins_at: dict[str, float]) -> None:
    for worker in work.workers.values():
        if joins_at.get(worker.worker, work.now) <= work.now:
            worker.is_partitioned = False
