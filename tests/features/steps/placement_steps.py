"""Steps that count what the scheduler looks at for one placement."""

from typing import Any
from unittest.mock import patch

from behave import then, when

from hornbeamstair_core.ids import JobId
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.work_model import ROOM, make_phase

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


@then('a placement without room asks {limit:d} times what room a worker has')
def check_asked(context: Any, limit: int) -> None:
    """Count the questions of one placement."""
    get_free = WorkerSession.get_free
    with patch.object(
        WorkerSession,
        'get_free',
        autospec=True,
        side_effect=get_free,
    ) as asked:
        context.work.scheduler.place(context.work.get_moment())
    assert asked.call_count == limit, asked.call_count
