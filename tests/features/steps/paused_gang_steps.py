"""Steps on gangs that wait for an explanation of silent workers."""

from typing import Any

from attrs import evolve
from behave import then, when

from hornbeamstair_callers.jobs.records import RunExpired, RunStarted
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import RunEnd
from tests.support.work_model import make_phase

JOB = JobId('f' * 16)


@when(
    'a gang of {tasks:d} tasks comes under whose first one {count:d} workers '
    'fell silent'
)
def accept_suspect_gang(context: Any, tasks: int, count: int) -> None:
    """Accept a gang and record the expired runs of its first task."""
    work = context.work
    work.short_seconds = 30, 31
    # A member whose start is refused is started again.
    work.refuse_share = 0
    work.accept(JOB, (evolve(make_phase(tasks, 1000), is_gang=True),))
    context.members = [TaskId(f'{JOB}.0.0.{index}') for index in range(tasks)]
    first = context.members[0]
    for run in range(1, count + 1):
        worker = WorkerId(f'silent{run}')
        started = RunStarted(first, run, worker, 1, work.now)
        ended = RunExpired(
            first, run, RunEnd.expired, '', work.now, address=worker
        )
        work.apply((started, ended))


@then('no task of the gang has started')
def check_paused(context: Any) -> None:
    """Check that the whole gang waits."""
    starts = context.work.starts_by_task
    assert not any(starts[task] for task in context.members), starts


@then('each task of the gang was started once')
def check_started(context: Any) -> None:
    """Check the starts of all members."""
    starts = [context.work.starts_by_task[task] for task in context.members]
    assert starts == [1] * len(starts), starts
