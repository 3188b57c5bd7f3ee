"""Steps with records on their way into the log."""

from typing import Any

from behave import then, when

from hornbeamstair_callers.jobs.effects import CommitBatch
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
        model.scheduler.note_committed(batch)


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
    scheduler.take_effects()
    for _ in range(count):
        scheduler.tick(context.work.get_moment())
    handed = [
        effect
        for effect in scheduler.take_effects()
        if isinstance(effect, CommitBatch) and effect.session in pending
    ]
    assert not handed, handed


def _get_pending(context: Any) -> list[Any]:
    return [
        session
        for session in context.work.scheduler.sessions.values()
        if session.seen_number > session.cursor
    ]
