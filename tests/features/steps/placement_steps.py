"""Steps that count what the scheduler looks at for one placement."""

from typing import Any
from unittest.mock import patch

from behave import then, when

from hornbeamstair_callers.jobs.order import ObjectiveOrder
from hornbeamstair_core.ids import JobId
from tests.support.work_model import ROOM, SERVICE, STEP, make_phase

SLOTS = 8


@when('{count:d} jobs alike are accepted, more than there is room for')
def accept_alike(context: Any, count: int) -> None:
    """Accept jobs of two phases, each of which fills a worker."""
    cpu = ROOM.cpu // SLOTS
    for number in range(count):
        phases = (make_phase(SLOTS, cpu), make_phase(SLOTS, cpu, (0,)))
        context.work.accept(JobId(f'{number:016}'), phases)
    context.work.scheduler.place(context.work.get_moment())
    assert len(context.work.scheduler.waiting.ready) > count // 2


@when('{count:d} jobs that fill the memory alone are accepted')
def accept_large(context: Any, count: int) -> None:
    """Accept jobs that leave processor which nobody can use."""
    for number in range(count):
        phase = make_phase(SLOTS, SLOTS, memory=ROOM.memory // SLOTS)
        context.work.accept(JobId(f'{number:016}'), (phase,))
    context.work.scheduler.place(context.work.get_moment())


@when('{count:d} workers are kept free of new work')
def keep_free(context: Any, count: int) -> None:
    """Reserve workers."""
    scheduler = context.work.scheduler
    for session in list(scheduler.sessions.values())[:count]:
        session.is_reserved = True


@when('{count:d} jobs alike are placed')
def place_alike(context: Any, count: int) -> None:
    """Have one pass place jobs of one task each."""
    context.work.scheduler.effort.clear()
    for number in range(count):
        phase = make_phase(1, ROOM.cpu // SLOTS)
        context.work.accept(JobId(f'{number:016}'), (phase,))
    context.work.scheduler.place(context.work.get_moment())


@then('each start examined one worker, besides {closed:d} at most in all')
def check_closed(context: Any, closed: int) -> None:
    """Compare the workers examined with the starts."""
    effort = context.work.scheduler.effort
    assert effort.placed
    assert effort.examined <= effort.placed + closed, effort


@then('a pass without room examines {limit:d} workers')
def check_examined(context: Any, limit: int) -> None:
    """Count what one pass over all waiting jobs looks at."""
    scheduler = context.work.scheduler
    scheduler.effort.clear()
    scheduler.tick(context.work.get_moment())
    assert scheduler.effort.asked > 1
    assert not scheduler.effort.placed
    assert scheduler.effort.examined == limit, scheduler.effort


@then('{count:d} placements rank no job anew')
def check_ranked(context: Any, count: int) -> None:
    """Count the keys that placements work out."""
    scheduler = context.work.scheduler
    with patch.object(
        ObjectiveOrder,
        'get_key',
        autospec=True,
        side_effect=ObjectiveOrder.get_key,
    ) as ranked:
        for _ in range(count):
            scheduler.place(context.work.get_moment())
    assert not ranked.called, ranked.call_count


@then('for {seconds:d} seconds each rank is that of a new look')
def check_ranks(context: Any, seconds: int) -> None:
    """Compare the keys of the waiting jobs with keys worked out anew."""
    model = context.work
    end = model.now + seconds
    compared = 0
    while model.now < end:
        model.run(STEP)
        wall = model.get_moment().wall
        waiting = model.scheduler.waiting
        for found in waiting.get_waiting(wall).get(SERVICE, ()):
            queue = model.tables.manifest.find_known(found.job.queue)
            assert found.key == waiting.order.get_key(found.job, queue, wall)
            compared += 1
    assert compared
