"""Steps on starts without an outcome and on backfill tasks that wait."""

from typing import Any

from behave import then, when

from hornbeamstair_core.ids import JobId, TaskId
from tests.support.logs import read_log
from tests.support.work_model import crash_worker, make_phase

JOB = JobId(f'{1:016x}')
BACKFILL_JOB = JobId(f'{2:016x}')
SHORT_JOB = JobId(f'{3:016x}')
SHORT_TASK = TaskId(f'{SHORT_JOB}.0.0.0')


@when(
    'its worker ignores the starts of a job of {tasks:d} tasks '
    'for {seconds:d} seconds'
)
def ignore_starts(context: Any, tasks: int, seconds: int) -> None:
    """Accept a job whose starts have no outcome."""
    context.work.run(1)
    for worker in context.work.workers.values():
        worker.ignores_starts = True
    context.work.accept(JOB, (make_phase(tasks, 1000),))
    context.work.run(seconds)


@then('its log reports {count:d} times {tasks:d} unconfirmed starts')
def check_unconfirmed(context: Any, count: int, tasks: int) -> None:
    """Check the logged starts, their states and their ages."""
    reported = [
        line
        for line in read_log(context)
        if line['event'] == 'starts_unconfirmed'
    ]
    assert len(reported) == count, reported
    for line in reported:
        assert line['count'] == len(line['runs']) == tasks, line
        assert {run['state'] for run in line['runs']} == {'unanswered'}, line
        assert min(run['age_ms'] for run in line['runs']) >= 1000, line


@when(
    '{serving:d} serving tasks and {backfill:d} backfill tasks '
    'are accepted there for {seconds:d} seconds'
)
def accept_backfill(
    context: Any, serving: int, backfill: int, seconds: int
) -> None:
    """Accept backfill tasks once each worker serves."""
    context.work.run(1)
    context.work.accept(JOB, (make_serving_phase(serving),))
    context.work.run(1)
    context.work.accept(BACKFILL_JOB, (make_backfill_phase(backfill),))
    context.work.run(seconds)


@then(
    'its log reports {tasks:d} backfill tasks that wait '
    'beside {workers:d} serving workers'
)
def check_waiting_backfill(context: Any, tasks: int, workers: int) -> None:
    """Check the last line about waiting tasks."""
    lines = [
        line for line in read_log(context) if line['event'] == 'work_waiting'
    ]
    found = lines[-1]['services'][0]
    assert found['backfill_tasks'] == tasks, found
    assert found['serving'] == found['usable'] == workers, found


@when('both workers crash 2 seconds after one task and right after another')
def crash_both(context: Any) -> None:
    """Crash the workers of an old and of a new run."""
    work = context.work
    work.run(1)
    for job in (JOB, BACKFILL_JOB):
        work.run(2)
        work.accept(job, (make_serving_phase(1),))
    work.run(0.2)
    for worker in list(work.workers.values()):
        crash_worker(work, worker)
    work.run(6)


@then('its log reports the first run as proven and the second one as not')
def check_proven(context: Any) -> None:
    """Check the ends that the leader has decided on."""
    ended = [
        (run['task'], run['end'], run['proven'])
        for line in read_log(context)
        if line['event'] == 'runs_ended'
        for run in line['runs']
    ]
    expected = [(JOB, True), (BACKFILL_JOB, False)]
    assert [
        (task.partition('.')[0], proven) for task, _, proven in sorted(ended)
    ] == expected, ended


@when(
    'no record is committed for {seconds:d} seconds '
    'while a task ends on one of the workers'
)
def stall_log(context: Any, seconds: int) -> None:
    """Stall the log with a serving task on each worker."""
    work = context.work
    work.run(1)
    work.accept(JOB, (make_serving_phase(2),))
    work.run(1)
    work.short_seconds = (0.3, 0.3)
    work.accept(SHORT_JOB, (make_phase(1, 1000),))
    while not work.starts_by_task[SHORT_TASK]:
        work.step()
    work.is_log_stalled = True
    work.run(seconds)


@then('the serving task of that worker has lapsed, and the other one runs')
def check_lapsed(context: Any) -> None:
    """Check that the lease of the worker that is not polled has expired."""
    running = [list(worker.runs) for worker in context.work.workers.values()]
    assert sorted(map(len, running)) == [0, 1], running


@then(
    'its log reports that it and {tasks:d} tasks '
    'have waited for records for {seconds:d} seconds'
)
def check_records_waiting(context: Any, tasks: int, seconds: int) -> None:
    """Check the last line about records that are not committed."""
    lines = [
        line for line in read_log(context) if line['event'] == 'records_waiting'
    ]
    idle = [
        worker.worker
        for worker in context.work.workers.values()
        if not worker.runs
    ]
    last = lines[-1]
    assert last['unpolled'] == idle, last
    assert last['count'] == len(last['tasks']) == tasks, last
    assert last['oldest_ms'] >= seconds * 1000, last


@when(
    'all workers are cut off '
    'while a job of {tasks:d} tasks waits for {seconds:d} seconds'
)
def cut_workers(context: Any, tasks: int, seconds: int) -> None:
    """Partition all workers, then accept a job."""
    work = context.work
    work.run(1)
    for worker in work.workers.values():
        worker.is_partitioned = True
    work.run(1)
    work.accept(JOB, (make_phase(tasks, 1000),))
    work.run(seconds)


@then('its log reports {count:d} workers as unusable because they are {reason}')
def check_obstacles(context: Any, count: int, reason: str) -> None:
    """Check the reasons in the last line about waiting tasks."""
    lines = [
        line for line in read_log(context) if line['event'] == 'work_waiting'
    ]
    found = lines[-1]['services'][0]
    assert found['unusable'] == {reason: count}, found
    assert found['workers'] - found['usable'] == count, found


def make_serving_phase(count: int) -> Any:
    """Make a phase of endless tasks, each of which needs its own worker."""
    return make_phase(count, 1000, lasts=True, max_away=1, target_seconds=0.1)


def make_backfill_phase(count: int) -> Any:
    """Make a phase of endless tasks that use spare CPU."""
    return make_phase(count, 1000, lasts=True, max_away=1, fills=True)
