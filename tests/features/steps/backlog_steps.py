"""Steps on the cost of scheduling with a backlog."""

from functools import partial
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from hornbeamstair_callers.jobs.events import (
    JobEndedEvent,
    PlacementLoadEvent,
)
from hornbeamstair_callers.jobs.placement_event_log import PlacementEventLog
from hornbeamstair_core.ids import JobId
from hornbeamstair_core.metrics import Metrics
from tests.support.backlog import Backlog
from tests.support.line_counter import count_lines
from tests.support.work_model import make_phase

JOBS = 'hornbeamstair_callers.jobs.'
# 18.2 passes per second.
PASS_SECONDS = 0.055
CYCLES = 10
# The first starts and ends may build data that later ones reuse.
WARM_UP = 3


@given('a full pool of {workers:d} workers and {jobs:d} jobs for it')
def fill_pool(context: Any, workers: int, jobs: int) -> None:
    """Create a leader with more jobs than its pool can run."""
    context.backlogs = [Backlog(workers, jobs)]


@given('a full pool of {workers:d} workers with {few:d} jobs and with {many:d}')
def fill_pools(context: Any, workers: int, few: int, many: int) -> None:
    """Create two leaders, one of them with more jobs."""
    context.backlogs = [Backlog(workers, few), Backlog(workers, many)]


@given('full pools of {few:d} and of {many:d} workers with {jobs:d} jobs each')
def fill_sites(context: Any, few: int, many: int, jobs: int) -> None:
    """Create two leaders, one of them with more workers."""
    context.backlogs = [Backlog(few, jobs), Backlog(many, jobs)]


@when('runs end and others start for a second')
def run_second(context: Any) -> None:
    """Measure passes on the clock of the model."""
    backlog = context.backlogs[0]
    log = PlacementEventLog(Metrics(), lambda: backlog.model.now)
    with patch(f'{JOBS}placement_event_log.log_event') as logged:
        for _ in range(21):
            backlog.model.now += PASS_SECONDS
            log.measure(backlog.end_and_start, backlog.scheduler.stats)
    context.events = [call.args[0] for call in logged.call_args_list]


@then('one log line reports {passes:d} passes with their phases and placements')
def check_line(context: Any, passes: int) -> None:
    """Check the logged numbers of passes, phases and placed runs."""
    assert len(context.events) == 1
    event = context.events[0]
    assert isinstance(event, PlacementLoadEvent)
    assert event.passes == passes, event
    assert event.placed >= 1, event
    assert event.asked >= event.placed, event


@when('a job waits {waited:g} seconds for free resources and then ends')
def end_job(context: Any, waited: float) -> None:
    """Have a job of one task start late and end."""
    model = context.work
    with patch(f'{JOBS}job_event_log.log_event') as logged:
        model.accept(JobId(f'{1:016x}'), (make_phase(1, 1000),))
        model.now += waited
        model.run(5)
    context.events = [call.args[0] for call in logged.call_args_list]


@then('the log line of its end shows that it started {waited:g} seconds late')
def check_begun(context: Any, waited: float) -> None:
    """Check the logged time of the first start."""
    assert len(context.events) == 1
    event = context.events[0]
    assert isinstance(event, JobEndedEvent)
    assert 0 <= event.begun_ms - waited * 1000 < 200, event
    assert event.objective_ms > 0, event


@then('the end of a run costs at most {factor:g} times as much in the second')
def compare(context: Any, factor: float) -> None:
    """Compare the lines executed for run ends and the next starts."""
    costs = [_get_cost(backlog) for backlog in context.backlogs]
    assert costs[1] <= costs[0] * factor, costs


@then(
    'the cancellation of a job costs at most {factor:g} times as much '
    'in the second',
)
def compare_cancels(context: Any, factor: float) -> None:
    """Compare the lines executed to cancel a job whose runs have to stop."""
    costs = [
        count_lines(partial(backlog.model.cancel, JobId(f'{0:016x}')))
        for backlog in context.backlogs
    ]
    assert all(backlog.count_stops() for backlog in context.backlogs)
    assert costs[1] <= costs[0] * factor, costs


@when('a third of the jobs is cancelled')
def cancel_third(context: Any) -> None:
    """Cancel every third job; ended jobs stay in the table."""
    for backlog in context.backlogs:
        for number in range(0, backlog.jobs, 3):
            backlog.model.cancel(JobId(f'{number:016x}'))
        backlog.record()


@then('a tick costs at most {factor:g} times as much in the second')
def compare_ticks(context: Any, factor: float) -> None:
    """Compare the lines executed for a tick in which nothing is due."""
    costs = []
    for backlog in context.backlogs:
        tick = partial(backlog.scheduler.tick, backlog.get_moment())
        # The first tick logs the waiting tasks and sends the due orders.
        tick()
        costs.append(count_lines(tick))
    assert costs[1] <= costs[0] * factor, costs


def _get_cost(backlog: Backlog) -> int:
    for _ in range(WARM_UP):
        backlog.end_and_start()
    return count_lines(
        lambda: [backlog.end_and_start() for _ in range(CYCLES)],
    )
