"""Steps that count what the scheduler examines for a placement."""

from typing import Any
from unittest.mock import patch

from behave import then, when

from hornbeamstair_callers.jobs.ranking import ObjectiveRanking
from hornbeamstair_core.ids import JobId
from tests.support.work_model import (
    RESOURCES,
    SERVICE,
    STEP_SECONDS,
    make_phase,
)

SLOTS = 8


@when('{count:d} identical jobs are accepted, more than the workers can run')
def accept_identical(context: Any, count: int) -> None:
    """Accept jobs of two phases, each of which fills a worker."""
    cpu = RESOURCES.cpu // SLOTS
    for number in range(count):
        phases = (make_phase(SLOTS, cpu), make_phase(SLOTS, cpu, (0,)))
        context.work.accept(JobId(f'{number:016}'), phases)
    context.work.scheduler.place(context.work.get_moment())
    assert len(context.work.scheduler.waiting.ready) > count // 2


@when('{count:d} jobs that fill only the memory are accepted')
def accept_large(context: Any, count: int) -> None:
    """Accept jobs that leave CPU free but no memory."""
    for number in range(count):
        phase = make_phase(SLOTS, SLOTS, memory=RESOURCES.memory // SLOTS)
        context.work.accept(JobId(f'{number:016}'), (phase,))
    context.work.scheduler.place(context.work.get_moment())


@when('{count:d} workers are reserved')
def reserve_workers(context: Any, count: int) -> None:
    """Reserve workers."""
    scheduler = context.work.scheduler
    for session in list(scheduler.sessions.values())[:count]:
        session.is_reserved = True


@when('{count:d} identical jobs are placed')
def place_identical(context: Any, count: int) -> None:
    """Place jobs of one task each in one pass."""
    context.work.scheduler.stats.clear()
    for number in range(count):
        phase = make_phase(1, RESOURCES.cpu // SLOTS)
        context.work.accept(JobId(f'{number:016}'), (phase,))
    context.work.scheduler.place(context.work.get_moment())


@then('each start examined one worker, apart from {reserved:d} at most in all')
def check_reserved(context: Any, reserved: int) -> None:
    """Compare the workers examined with the starts."""
    stats = context.work.scheduler.stats
    assert stats.placed
    assert stats.examined <= stats.placed + reserved, stats


@then('a pass without free resources examines {limit:d} workers')
def check_examined(context: Any, limit: int) -> None:
    """Check the workers that a pass over all waiting jobs examines."""
    scheduler = context.work.scheduler
    scheduler.stats.clear()
    scheduler.tick(context.work.get_moment())
    assert scheduler.stats.asked > 1
    assert not scheduler.stats.placed
    assert scheduler.stats.examined == limit, scheduler.stats


@then('{count:d} placements recompute no sort key')
def check_ranked(context: Any, count: int) -> None:
    """Check that placements compute no sort key."""
    scheduler = context.work.scheduler
    with patch.object(
        ObjectiveRanking,
        'get_key',
        autospec=True,
        side_effect=ObjectiveRanking.get_key,
    ) as ranked:
        for _ in range(count):
            scheduler.place(context.work.get_moment())
    assert not ranked.called, ranked.call_count


@then('for {seconds:d} seconds each sort key equals a recomputed one')
def check_ranks(context: Any, seconds: int) -> None:
    """Compare the sort keys of the waiting jobs with recomputed keys."""
    model = context.work
    end = model.now + seconds
    compared = 0
    while model.now < end:
        model.run(STEP_SECONDS)
        wall = model.get_moment().wall
        waiting = model.scheduler.waiting
        for waiting_job in waiting.get_waiting(wall).get(SERVICE, ()):
            queue = model.tables.manifest.find_queue_by_name(
                waiting_job.job.queue
            )
            assert waiting_job.key == waiting.ranking_policy.get_key(
                waiting_job.job, queue, wall
            )
            compared += 1
    assert compared
