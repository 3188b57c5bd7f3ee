"""Steps on tasks that the leader reports as overdue."""

from collections.abc import Callable
from itertools import pairwise
from typing import Any

from behave import then, when

from hornbeamstair_callers.jobs.crashes import Crash
from hornbeamstair_callers.jobs.meter import measure_scheduler
from hornbeamstair_core.ids import JobId, TaskId
from tests.support.logs import read_log
from tests.support.work_model import RESOURCES, WorkModel, make_phase

JOB = JobId(f'{1:016x}')
CRASHES = 5


@when(
    'a serving task and {jobs:d} short jobs are accepted '
    'for {seconds:d} seconds'
)
def accept_jobs(context: Any, jobs: int, seconds: int) -> None:
    """Accept jobs on sound workers."""
    context.work.run(1)
    accept_serving(context.work, 1, 1000)
    for number in range(jobs):
        context.work.accept(JobId(f'{number + 2:016x}'), (make_phase(2, 500),))
    context.work.run(seconds)


@when(
    '{tasks:d} serving tasks that need a whole worker each '
    'wait for {seconds:d} seconds'
)
def accept_large(context: Any, tasks: int, seconds: int) -> None:
    """Accept one job for each task."""
    context.work.run(1)
    for number in range(tasks):
        context.work.accept(
            JobId(f'{number + 1:016x}'),
            (make_serving_phase(1, RESOURCES.cpu),),
        )
    context.work.run(seconds)


@when('the running one is cancelled with its job')
def cancel_running(context: Any) -> None:
    """Free the worker of the running task."""
    worker = next(iter(context.work.workers.values()))
    cancelled = set(worker.runs)
    for task in cancelled:
        context.work.cancel(JobId(task.partition('.')[0]))
    context.work.run(3)
    assert set(worker.runs) - cancelled, worker.runs


@when('{tasks:d} serving tasks rest for {seconds:g} seconds because {fault}')
def rest(context: Any, tasks: int, seconds: float, fault: str) -> None:
    """Accept the tasks and keep them from running."""
    context.work.run(1)
    FAULTS[fault](context.work, tasks)
    context.rests_from = context.work.now
    context.work.run(seconds)


@when('records are committed again for {seconds:d} seconds')
def commit_again(context: Any, seconds: int) -> None:
    """Let the log go on."""
    context.work.is_log_stalled = False
    context.work.run(seconds)


@then('no task is reported as overdue')
def check_none(context: Any) -> None:
    """Check that no line reports an overdue task."""
    assert not get_reports(context), get_reports(context)


@then(
    '{tasks:d} tasks are reported as overdue for {reason} '
    'after {least:g} to {most:g} seconds'
)
def check_reports(
    context: Any, tasks: int, reason: str, least: float, most: float
) -> None:
    """Check the first and the last line."""
    reports = get_reports(context)
    assert reports
    first, last = reports[0], reports[-1]
    assert least * 1000 <= first['oldest_ms'] <= most * 1000, first
    for line in (first, last):
        assert line['count'] == len(line['tasks']) == tasks, line
    assert last['reasons'] == {reason: tasks}, last
    ages = [line['oldest_ms'] for line in reports]
    assert all(later - age >= 999 for age, later in pairwise(ages)), ages


@then('the metrics count {tasks:d} overdue tasks')
def check_metric(context: Any, tasks: int) -> None:
    """Check the gauge of the leader, and of a process that does not lead."""
    measure_scheduler(context.metrics, context.work.scheduler)
    found = get_gauge(context)
    measure_scheduler(context.metrics, None)
    assert (found, get_gauge(context)) == (tasks, 0), found


def get_gauge(context: Any) -> float | None:
    """Get the gauge of the overdue tasks."""
    return context.metrics.registry.get_sample_value(
        'hornbeamstair_state', {'kind': 'tasks_overdue'}
    )


def get_reports(context: Any) -> list[dict[str, Any]]:
    """Get the lines that report overdue tasks."""
    return [
        line for line in read_log(context) if line['event'] == 'tasks_overdue'
    ]


def accept_serving(work: WorkModel, tasks: int, cpu: int) -> None:
    """Accept a job of endless tasks, each of which needs its own worker."""
    work.accept(JOB, (make_serving_phase(tasks, cpu),))


def make_serving_phase(tasks: int, cpu: int) -> Any:
    """Make a phase of endless tasks."""
    return make_phase(tasks, cpu, lasts=True, max_away=1, target_seconds=0.1)


def stall_log(work: WorkModel, tasks: int) -> None:
    """Commit no record."""
    work.is_log_stalled = True
    accept_serving(work, tasks, 1000)


def reserve_workers(work: WorkModel, tasks: int) -> None:
    """Reserve all workers."""
    for worker in work.workers:
        work.scheduler.reserve(worker)
    accept_serving(work, tasks, 1000)


def cut_off(work: WorkModel, tasks: int) -> None:
    """Partition all workers, then accept the tasks."""
    for worker in work.workers.values():
        worker.is_partitioned = True
    work.run(1)
    accept_serving(work, tasks, 1000)


def lose_index(work: WorkModel, tasks: int) -> None:
    """Drop the tasks from the waiting ones."""
    accept_serving(work, tasks, 1000)
    work.scheduler.waiting.stale.clear()


def lose_runs(work: WorkModel, tasks: int) -> None:
    """Drop the runs from the sessions of their workers."""
    accept_serving(work, tasks, 1000)
    work.run(1)
    for session in work.scheduler.sessions.values():
        for task in list(session.runs):
            session.remove_run(task)


def pause_tasks(work: WorkModel, tasks: int) -> None:
    """Accept tasks under which several workers fell silent."""
    accept_serving(work, tasks, 1000)
    job = work.tables.jobs.jobs[JOB]
    for index in range(tasks):
        for number in range(CRASHES + 1):
            crash = Crash(next(iter(work.workers)), -number, work.now, True)
            job.crash_history.add(TaskId(f'{JOB}.0.0.{index}'), crash)


def lose_senders(work: WorkModel, tasks: int) -> None:
    """Have each sender of a start fail without an outcome."""
    work.failing_senders = 1000
    accept_serving(work, tasks, 1000)


FAULTS: dict[str, Callable[[WorkModel, int], None]] = {
    'no record is committed': stall_log,
    'their workers are reserved': reserve_workers,
    'their workers are cut off': cut_off,
    'the waiting tasks have lost them': lose_index,
    'the leader has lost their runs': lose_runs,
    'their workers went down under them': pause_tasks,
    'the leader does not send the starts': lose_senders,
}
