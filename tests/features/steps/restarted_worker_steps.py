"""Steps with orders that reach a later incarnation of a worker."""

from typing import Any

from behave import given, then, when

from hornbeamstair_core.ids import JobId, TaskId
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    RunEnd,
    StartOrder,
)
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.logs import capture_log, read_log
from tests.support.work_model import make_phase

JOB = JobId(f'{58:016x}')


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


@then('the log names run {run:d} of its first task as orphaned once')
def check_orphaned(context: Any, run: int) -> None:
    """Check the lines on orphaned runs."""
    lines = read_log(context)
    orphaned = [line for line in lines if line['event'] == 'runs_orphaned']
    rows = [row for line in orphaned for row in line['runs']]
    running = [row['run'] for row in rows if row['listed_as'] == 'running']
    assert running == [run], rows
    assert {row['task'] for row in rows} == {context.task}, rows


@when('a job of {count:d} tasks of {seconds:g} seconds is accepted')
def accept_job(context: Any, count: int, seconds: float) -> None:
    """Accept a job whose tasks take a fixed time."""
    context.work.seconds_by_job[JOB] = seconds
    context.work.accept(JOB, (make_phase(count, cpu=8000),))


@when(
    'a job of {count:d} tasks of {seconds:g} seconds is accepted, whose first '
    'start is executed {late:g} seconds late'
)
def accept_late_job(
    context: Any,
    count: int,
    seconds: float,
    late: float,
) -> None:
    """Accept a job whose first start order has no answer."""
    context.work.start_delays.append(late)
    accept_job(context, count, seconds)


@when('the worker of the late start restarts and is {state}')
def restart_late(context: Any, state: str) -> None:
    """Restart the worker that a delayed start was sent to."""
    work = context.work
    _, order = work.delayed_orders[0]
    worker = work.workers[order.worker]
    worker.crash(work.now)
    worker.is_partitioned = state == 'cut off'


@when('a poll of each worker is executed {late:g} seconds late')
def delay_polls(context: Any, late: float) -> None:
    """Delay the next poll of each worker that renews its lease."""
    for worker in context.work.workers:
        context.work.poll_delays[worker] = [late]


@when('all workers restart')
def restart_all(context: Any) -> None:
    """Restart all workers."""
    for worker in context.work.workers.values():
        worker.crash(context.work.now)


@when(
    'all workers restart, without an answer to a poll or an announcement for '
    '{seconds:g} seconds'
)
def restart_unknown(context: Any, seconds: float) -> None:
    """Restart all workers, and let the leader learn of it late."""
    work = context.work
    restart_all(context)
    work.polled_from = work.now + seconds
    for worker in work.workers.values():
        worker.is_unannounced = True
    work.run(seconds)
    for worker in work.workers.values():
        worker.is_unannounced = False


@when(
    'all workers restart, without an answer to a poll for {seconds:g} seconds'
)
def restart_unpolled(context: Any, seconds: float) -> None:
    """Restart all workers, whose first poll comes late."""
    restart_all(context)
    context.work.polled_from = context.work.now + seconds
    context.work.run(seconds)


@when('its tasks are placed')
def wait_for_placement(context: Any) -> None:
    """Wait until the starts are being recorded."""
    work = context.work
    while not any(session.runs for session in work.scheduler.sessions.values()):
        work.step()


@when('one of the workers is partitioned for {seconds:g} seconds')
def partition_busy(context: Any, seconds: float) -> None:
    """Partition a worker that runs tasks."""
    work = context.work
    worker = next(worker for worker in work.workers.values() if worker.runs)
    worker.is_partitioned = True
    work.run(seconds)
    worker.is_partitioned = False


@then('each of its tasks has ended')
def check_ended(context: Any) -> None:
    """Check that the job is over; the oracle has checked each start."""
    job = context.work.tables.jobs.jobs[JOB]
    assert not job.is_open, job.state


@then('each of its tasks has ended after {count:d} starts')
def check_starts(context: Any, count: int) -> None:
    """Check that the job is over after a number of starts."""
    check_ended(context)
    assert context.work.starts == count, context.work.starts


@given('{share:g} of the polls are executed late')
def delay_random_polls(context: Any, share: float) -> None:
    """Have a share of the polls executed late and without an answer."""
    context.delayed_polls_share = share


@when('a poll lists ends that are recorded')
def record_ends(context: Any) -> None:
    """Answer a poll with an end, and record it."""
    ended = (EndReport(1, TaskId('j.0.0.0'), 1, RunEnd.done, ''),)
    _answer_poll(context, PollAnswer(OrderOutcome.done, ended=ended))
    session = _get_session(context)
    session.handle_recorded(session.announced.incarnation, 1)


@when('the poll that acknowledges them has no answer')
def lose_acknowledgement(context: Any) -> None:
    """Lose a poll with a cursor."""
    order = _answer_poll(context, PollAnswer(OrderOutcome.unknown))
    assert order.cursor == 1, order


@then('the next poll of a worker acknowledges {count:d} ends')
def check_next_poll(context: Any, count: int) -> None:
    """Check the cursor of the next poll."""
    session = _get_session(context)
    assert session.end_cursor.cursor, session.end_cursor
    context.order = session.make_poll(context.work.now)
    assert context.order.cursor == count, context.order


@then('it renews no lease')
def check_lease(context: Any) -> None:
    """Check that the poll has no lease end."""
    assert context.order.lease_end is None, context.order


def _get_session(context: Any) -> WorkerSession:
    return next(iter(context.work.scheduler.sessions.values()))


def _answer_poll(context: Any, answer: PollAnswer) -> PollOrder:
    work = context.work
    session = _get_session(context)
    order = session.make_poll(work.now)
    work.scheduler.handle_poll(session, answer, work.now, work.get_moment())
    return order
