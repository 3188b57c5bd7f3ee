"""Steps on starts without an outcome and on backfill tasks that wait."""

from typing import Any

from behave import then, when

from hornbeamstair_core.ids import JobId
from tests.support.logs import read_log
from tests.support.work_model import crash_worker, make_phase

JOB = JobId(f'{1:016x}')
BACKFILL_JOB = JobId(f'{2:016x}')


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


def make_serving_phase(count: int) -> Any:
    """Make a phase of endless tasks, each of which needs its own worker."""
    return make_phase(count, 1000, lasts=True, max_away=1, target_seconds=0.1)


def make_backfill_phase(count: int) -> Any:
    """Make a phase of endless tasks that use spare CPU."""
    return make_phase(count, 1000, lasts=True, max_away=1, fills=True)
