"""Steps with records on their way into the log."""

from typing import Any

from behave import then, when

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    HoldAnswer,
    OrderOutcome,
    RunEnd,
)
from tests.support.work_model import make_announced


@when('a look lists ends that are not recorded yet')
def list_ends(context: Any) -> None:
    """Let time pass until a batch with ends is on its way."""
    while not _get_pending(context):
        context.work.step()


@when('their worker is born again before they are recorded')
def bear_again(context: Any) -> None:
    """Announce a new life while ends of the former one are on their way."""
    model = context.work
    context.session = _get_pending(context)[0]
    worker = context.session.announced.worker
    model.workers[worker].crash(model.now)
    born = model.workers[worker].born
    model.scheduler.note_announced(
        make_announced(worker, born),
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


@then('the first look at its new life lets it forget no end')
def check_cursor(context: Any) -> None:
    """Check the cursor of the next look."""
    order = context.session.get_hold(context.work.now)
    assert order.cursor == 0, order


@then('{count:d} ticks hand over nothing to record for these ends')
def check_handed(context: Any, count: int) -> None:
    """Count the batches of the sessions whose ends are on their way."""
    scheduler = context.work.scheduler
    pending = _get_pending(context)
    scheduler.drain_effects()
    for _ in range(count):
        scheduler.tick(context.work.get_moment())
    handed = [
        effect
        for effect in scheduler.drain_effects()
        if isinstance(effect, CommitBatch) and effect.session in pending
    ]
    assert not handed, handed


def _get_pending(context: Any) -> list[Any]:
    return [
        session
        for session in context.work.scheduler.sessions.values()
        if not session.numbers.is_recorded()
    ]


@when('looks at a worker list the ends 1 to {middle:d} and then to {last:d}')
def list_twice(context: Any, middle: int, last: int) -> None:
    """Have two looks hand over a batch each."""
    scheduler = context.work.scheduler
    context.session = next(iter(scheduler.sessions.values()))
    scheduler.drain_effects()
    for number in (middle, last):
        _look(context, number)
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


@when('batch {place:d} of the ends is recorded')
def record_batch(context: Any, place: int) -> None:
    """Record one of the batches."""
    context.work.scheduler.handle_committed(context.batches[place - 1])


@then('the next look lets it forget the ends up to {number:d}')
def check_forgotten(context: Any, number: int) -> None:
    """Check the cursor of the next look."""
    order = context.session.get_hold(context.work.now)
    assert order.cursor == number, order


def _look(context: Any, last: int) -> None:
    """List ends of runs that the holder does not know."""
    ended = tuple(
        EndReport(number, TaskId(f'{number:016x}.0.0.0'), 1, RunEnd.done, '')
        for number in range(1, last + 1)
    )
    moment = context.work.get_moment()
    answer = HoldAnswer(
        OrderOutcome.done,
        moment.steady,
        context.session.announced.incarnation,
        ended=ended,
    )
    context.work.scheduler.handle_poll(
        context.session,
        answer,
        moment.steady,
        moment,
    )
