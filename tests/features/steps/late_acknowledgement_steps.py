"""Steps with acknowledgements that reach a later incarnation of a worker."""

from collections.abc import Callable
from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.fencing import FencingTokens, get_token_term
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    RunEnd,
)
from hornbeamstair_upstreams.work.polls import handle_poll_answer
from hornbeamstair_upstreams.work.runs import Run, RunState
from tests.support.work_model import ModelWorker, WorkModel, make_phase

EARLIER_JOB = JobId(f'{680:016x}')
LATER_JOB = JobId(f'{681:016x}')
TASK = TaskId(f'{58:016x}.0.0.0')
OTHER_TASK = TaskId(f'{EARLIER_JOB}.0.0.0')
LATE_SECONDS = 12
START_LATE = 4.0
POLL_LATE = 5.0
RESTART_SECONDS = 1.0
RUN_SECONDS = 0.4
# Longer than the interval of the polls.
POLL_SECONDS = 0.4
# Longer than any step of the scenarios waits.
MOST_SECONDS = 60
# More than a term has.
MANY_TOKENS = 2**28 + 5


@when(
    'a start and then an acknowledgement to its worker are late, sent {order}'
)
def delay_both(context: Any, order: str) -> None:
    """Delay a start and an acknowledgement that meet the next incarnation."""
    work = context.work
    work.seconds_by_job[EARLIER_JOB] = RUN_SECONDS
    work.seconds_by_job[LATER_JOB] = RUN_SECONDS
    work.accept(EARLIER_JOB, (make_phase(1, cpu=500),))
    if order == 'the start first':
        _step_until(work, lambda: work.starts)
        _delay_start(work)
        _delay_acknowledgement(work)
    else:
        _delay_acknowledgement(work)
        _delay_start(work)
    context.late_until = work.now + POLL_LATE


def _step_until(work: WorkModel, condition: Callable[[], object]) -> None:
    end = work.now + MOST_SECONDS
    while not condition():
        assert work.now < end, f'nothing has happened by {work.now:.1f} s'
        work.step()


def _delay_start(work: WorkModel) -> None:
    work.start_delays.append(START_LATE)
    work.accept(LATER_JOB, (make_phase(1, cpu=500),))
    _step_until(work, lambda: not work.start_delays)
    _get_worker(work).ignores_starts = True


def _delay_acknowledgement(work: WorkModel) -> None:
    """Delay the next poll that acknowledges an end, if one is sent."""
    session = work.scheduler.sessions[WorkerId('w0')]
    work.acknowledgement_delays.append(POLL_LATE)
    _step_until(work, lambda: session.end_cursor.cursor)
    work.run(POLL_SECONDS)
    work.acknowledgement_delays.clear()
    work.polled_from = work.now + POLL_LATE


@when(
    'the worker restarts between them and is not heard of until both were '
    'executed'
)
def restart_between(context: Any) -> None:
    """Restart the worker before either order is executed."""
    work = context.work
    work.run(RESTART_SECONDS)
    worker = _get_worker(work)
    worker.crash(work.now)
    worker.is_unannounced = True
    worker.ignores_starts = False
    work.run(context.late_until - work.now)
    assert not work.delayed_orders, work.delayed_orders
    worker.is_unannounced = False


@then('no task has run again and no job is open')
def check_ended(context: Any) -> None:
    """Check the jobs; the oracle has checked each start."""
    jobs = context.work.tables.jobs.jobs
    open_jobs = [job for job in (EARLIER_JOB, LATER_JOB) if jobs[job].is_open]
    assert not open_jobs, open_jobs


def _get_worker(work: WorkModel) -> ModelWorker:
    return work.workers[WorkerId('w0')]


# One session


def _poll(context: Any, *ended: EndReport, is_answered: bool = True) -> None:
    session, work = context.session, context.work
    context.poll = session.make_poll(work.now)
    if not is_answered:
        return
    clock = _get_worker(work).get_clock(work.now)
    answer = PollAnswer(OrderOutcome.done, clock, 1, (), ended)
    handle_poll_answer(session, answer, work.now, work.now)


def _list_end(context: Any, task: TaskId) -> None:
    work = context.work
    work.now += 0.1
    number = context.session.end_cursor.listed + 1
    _poll(context, EndReport(number, task, 1, RunEnd.done, ''))
    context.session.end_cursor.submit_batch()
    context.session.handle_recorded(1, number)


@when('a poll lists the end of another run, which is recorded')
def list_other_end(context: Any) -> None:
    """List the end of a run that is not tracked."""
    _list_end(context, OTHER_TASK)


@when('a poll lists its end, which is recorded')
def list_own_end(context: Any) -> None:
    """List the end of the run with the late start."""
    _list_end(context, TASK)
    assert TASK not in context.session.runs, context.session.runs


@then('for {seconds:d} seconds after the start no poll acknowledges it')
def check_held(context: Any, seconds: int) -> None:
    """Poll until the start can be late no more."""
    work = context.work
    end = context.run.ordered_at + seconds
    while work.now < end:
        _poll(context)
        assert context.poll.cursor == 0, (work.now, end, context.poll)
        work.now += 0.5


@then('the next poll acknowledges it')
def check_acknowledged(context: Any) -> None:
    """Check the next poll."""
    _poll(context)
    assert context.poll.cursor == 1, context.poll


@when('the first start has been answered as done')
def answer_first(context: Any) -> None:
    """Have the worker answer the start after all."""
    session, work = context.session, context.work
    context.run.open_orders = 0
    session.confirm(context.run, RunState.running, work.now)


@when('a poll acknowledges it')
def acknowledge(context: Any) -> None:
    """Send a poll with a cursor that has no answer yet."""
    _poll(context, is_answered=False)
    assert context.poll.cursor == 1, context.poll


@when('a poll acknowledges it and has an answer')
def acknowledge_answered(context: Any) -> None:
    """Send a poll with a cursor that is answered."""
    _poll(context)
    assert context.poll.cursor == 1, context.poll


def _start_other(context: Any) -> None:
    session, work = context.session, context.work
    task = TaskId(f'{LATER_JOB}.0.0.0')
    run = Run(
        task,
        1,
        context.run.needs,
        f'{LATER_JOB}.0',
        RunState.recorded,
        work.now,
    )
    session.add_run(run)
    context.start = session.make_start(run, 'text', work.now)


@then('a start that is sent now carries a higher token than the poll')
def check_higher(context: Any) -> None:
    """Check the token of the next start."""
    _start_other(context)
    start, poll = context.start, context.poll
    assert start.fencing_token > poll.fencing_token, (start, poll)


@then('a start that is sent now carries the same token as the poll')
def check_same(context: Any) -> None:
    """Check the token of the next start."""
    _start_other(context)
    start, poll = context.start, context.poll
    assert start.fencing_token == poll.fencing_token, (start, poll)


@then('a poll that the start has overtaken does not mark the worker as fenced')
def check_overtaken(context: Any) -> None:
    """Reject the poll for its token."""
    session, work = context.session, context.work
    answer = PollAnswer(OrderOutcome.fenced, None, 1)
    handle_poll_answer(session, answer, work.now, work.now)
    assert not session.is_fenced, session
    assert session.is_poll_due(work.now + LATE_SECONDS), session


@when('a poll acknowledges it, a stop is sent and another run is started')
def overtake_stop(context: Any) -> None:
    """Send a stop before a start with a higher token."""
    _poll(context, is_answered=False)
    context.session.request_stop(context.run)
    context.stop = context.session.get_stops(context.work.now)[0]
    _start_other(context)


@when('the stop is rejected for its token')
def reject_stop(context: Any) -> None:
    """Reject the stop, which the start has overtaken."""
    answer = OrderAnswer(OrderOutcome.fenced)
    context.session.handle_stop_answer(context.stop, answer, context.work.now)


@then('the stop is sent again at once and the worker is not marked as fenced')
def check_stop(context: Any) -> None:
    """Check the stops that are due."""
    stops = context.session.get_stops(context.work.now)
    tokens = [stop.fencing_token for stop in stops]
    assert tokens == [context.start.fencing_token], stops
    assert not context.session.is_fenced, context.session


@then('the next poll is due {seconds:g} seconds after it')
def check_pause(context: Any, seconds: float) -> None:
    """Check when the next poll may be sent."""
    session, now = context.session, context.work.now
    assert not session.is_poll_due(now), session
    assert session.is_poll_due(now + seconds), session


@when('the worker is forgotten and announces itself again')
def forget(context: Any) -> None:
    """Withdraw the worker, which comes back under its id."""
    work = context.work
    worker = _get_worker(work)
    scheduler = work.scheduler
    worker.is_unannounced = True
    worker.is_partitioned = True
    scheduler.handle_withdrawal(worker.worker, work.get_moment())
    _step_until(work, lambda: worker.worker not in scheduler.sessions)
    context.forgotten_at = work.now
    announced = evolve(context.session.announced, incarnation=2, sequence=1)
    scheduler.handle_announcement(announced, work.get_moment())


@then('its starts of before may be late for {seconds:d} seconds')
def check_starts(context: Any, seconds: int) -> None:
    """Check the time until which nothing is acknowledged."""
    session = context.work.scheduler.sessions[WorkerId('w0')]
    starts_until = session.acknowledgements.starts_until
    assert starts_until >= context.forgotten_at + seconds, starts_until


# Tokens


@given('the tokens of term {term:d}')
def make_tokens(context: Any, term: int) -> None:
    """Make the tokens of a term."""
    context.tokens = FencingTokens(term)


@when('more tokens are issued to a worker than there are in a term')
def exhaust_tokens(context: Any) -> None:
    """Skip most of the tokens."""
    first = context.tokens.issue()
    context.tokens.highest = MANY_TOKENS
    context.issued = [first, context.tokens.issue()]
    context.issued.append(context.tokens.issue_next(context.issued[-1]))


@then('all of them are of term {term:d} and below those of term {next_term:d}')
def check_terms(context: Any, term: int, next_term: int) -> None:
    """Check the terms of the tokens."""
    terms = {get_token_term(token) for token in context.issued}
    assert terms == {term}, terms
    assert max(context.issued) < FencingTokens(next_term).issue()
