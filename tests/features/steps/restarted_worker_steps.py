"""Steps with orders that reach a later incarnation of a worker."""

from typing import Any

from behave import given, then, when

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import StartOrder
from tests.support.logs import capture_log, read_log


@given('a log of the leader')
def start_capture(context: Any) -> None:
    """Capture the log."""
    capture_log(context)


@when('a worker executes run {run:d} of its first task by a late order')
def execute_late(context: Any, run: int) -> None:
    """Execute a start order that the leader doesn't know of."""
    work = context.work
    context.task = TaskId(f'{next(iter(work.tables.jobs.jobs))}.0.0.0')
    worker = next(iter(work.workers.values()))
    worker.start(
        StartOrder(
            worker.worker,
            '127.0.0.1',
            worker.port,
            worker.fencing_token,
            context.task,
            run,
            'text',
            worker.lease_end,
        ),
        work.now,
    )


@then('the log names run {run:d} of its first task as unexpected once')
def check_unexpected(context: Any, run: int) -> None:
    """Check the lines on unexpected runs."""
    lines = read_log(context)
    unexpected = [line for line in lines if line['event'] == 'runs_unexpected']
    rows = [row for line in unexpected for row in line['runs']]
    running = [row['run'] for row in rows if row['listed_as'] == 'running']
    assert running == [run], rows
    assert {row['task'] for row in rows} == {context.task}, rows
