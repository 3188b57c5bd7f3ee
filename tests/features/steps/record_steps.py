"""Steps with records that are being committed."""

from typing import Any

from behave import then, when

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderOutcome,
    PollAnswer,
    RunEnd,
)
from tests.support.work_model import make_worker_announcement


@when('a poll lists ends that are not recorded yet')
def list_ends(context: Any) -> None:
    """Advance the clock until a batch with ends is being committed."""
    while not _get_pending(context):
        context.work.step()


@when('their worker restarts before they are recorded')
def restart_worker(context: Any) -> None:
    """Announce a restart before ends of the previous incarnation commit."""
    model = context.work
    context.session = _get_pending(context)[0]
    worker = context.session.announced.worker
    model.workers[worker].crash(model.now)
    incarnation = model.workers[worker].incarnation
    model.scheduler.handle_announcement(
        make_worker_announcement(worker, incarnation),
        model.get_moment(),
    )
    pending = [
        batch
        for _, _, batch in model.commits
        if batch.session is context.session and batch.cursor
    ]
    assert pending
    for batch in pending:
        model.scheduler.handle_committed(batch)


@then('the first poll of its new incarnation acknowledges no end')
def check_cursor(context: Any) -> None:
    """Check that the cursor of the next poll is zero."""
    order = context.session.make_poll(context.work.now)
    assert order.cursor == 0, order


@then('{count:d} ticks submit no records for these ends')
def check_submitted(context: Any, count: int) -> None:
    """Check that the sessions with pending ends submit no batch."""
    scheduler = context.work.scheduler
    pending = _get_pending(context)
    scheduler.drain_effects()
    for _ in range(count):
        scheduler.tick(context.work.get_moment())
    submitted = [
        effect
        for effect in scheduler.drain_effects()
        if isinstance(effect, CommitBatch) and effect.session in pending
    ]
    assert not submitted, submitted


def _get_pending(context: Any) -> list[Any]:
    return [
        session
        for session in context.work.scheduler.sessions.values()
        if not session.end_cursor.is_recorded()
    ]


@when('polls of a worker list the ends 1 to {middle:d} and then to {last:d}')
def list_twice(context: Any, middle: int, last: int) -> None:
    """Have two polls submit a batch each."""
    scheduler = context.work.scheduler
    context.session = next(iter(scheduler.sessions.values()))
    scheduler.drain_effects()
    for number in (middle, last):
        _handle_poll(context, number)
    context.batches = [
        effect
        for effect in scheduler.drain_effects()
        if isinstance(effect, CommitBatch)
    ]
    assert [batch.cursor for batch in context.batches] == [middle, last]


@when('a batch of the same worker without ends is recorded')
def record_other(context: Any) -> None:
    """Record a batch that holds no listed end."""
    session = context.session
    batch = CommitBatch((), session, session.announced.incarnation)
    context.work.scheduler.handle_committed(batch)


@when('batch {position:d} of the ends is recorded')
def record_batch(context: Any, position: int) -> None:
    """Record one of the batches."""
    context.work.scheduler.handle_committed(context.batches[position - 1])


@then('the next poll acknowledges the ends up to {number:d}')
def check_acknowledged(context: Any, number: int) -> None:
    """Check the cursor of the next poll."""
    order = context.session.make_poll(context.work.now)
    assert order.cursor == number, order


def _handle_poll(context: Any, last: int) -> None:
    """Poll a worker that lists ends of runs unknown to the leader."""
    ended = tuple(
        EndReport(number, TaskId(f'{number:016x}.0.0.0'), 1, RunEnd.done, '')
        for number in range(1, last + 1)
    )
    moment = context.work.get_moment()
    answer = PollAnswer(
        OrderOutcome.done,
        moment.monotonic,
        context.session.announced.incarnation,
        ended=ended,
    )
    context.work.scheduler.handle_poll(
        context.session,
        answer,
        moment.monotonic,
        moment,
    )
