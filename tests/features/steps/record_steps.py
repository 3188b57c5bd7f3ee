"""Steps with records on their way into the log."""

from typing import Any

from behave import then, when

from hornbeamstair_callers.jobs.effects import CommitBatch


@when('a look lists ends that are not recorded yet')
def list_ends(context: Any) -> None:
    """Let time pass until a batch with ends is on its way."""
    while not _get_pending(context):
        context.work.step()


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
