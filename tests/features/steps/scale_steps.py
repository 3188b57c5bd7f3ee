"""Steps on sites with many workers."""

from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.draining import drain_workers
from hornbeamstair_core.ids import JobId, WorkerId
from hornbeamstair_upstreams.work.known_announcements import (
    KnownAnnouncements,
)
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    Resources,
    StopOrder,
    WorkerAnnouncement,
    WorkerGone,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.work_model import make_worker_announcement

CHANGES = {
    'nothing has changed': {},
    'it leaves': {'is_leaving': True},
    'it has been restarted': {'incarnation': 2},
    'it has more memory': {'room': Resources(16000, 65536)},
    'it has been forgotten': {},
}


@given('a table of {count:d} workers')
def make_table(context: Any, count: int) -> None:
    """Make the replicated table of a process."""
    context.worker_table = WorkerTable()
    for number in range(count):
        context.worker_table.apply(WorkerSeen(_make_announcement(number)))


@when('each worker announces itself {times:d} times and {change}')
def announce(context: Any, times: int, change: str) -> None:
    """Find the announcements of which the leader hears."""
    known = KnownAnnouncements(context.worker_table)
    count = len(context.worker_table.workers)
    if change == 'it has been forgotten':
        for worker in list(context.worker_table.workers):
            context.worker_table.apply(WorkerGone(worker, 1))
    context.heard = [
        announced
        for number in range(count)
        for sequence in range(1, times + 1)
        if not known.contains(
            announced := evolve(
                _make_announcement(number),
                sequence=sequence,
                **CHANGES[change],
            )
        )
    ]


@then('the leader hears of {least:d} to {most:d} announcements')
def check_heard(context: Any, least: int, most: int) -> None:
    """Check the number of announcements that are forwarded."""
    assert least <= len(context.heard) <= most, len(context.heard)


@when(
    'the leader reads nothing for {seconds:d} seconds '
    'and then drains the busy workers'
)
def drain_late(context: Any, seconds: int) -> None:
    """Advance the clock without any answer, and drain workers."""
    context.work.now += seconds
    drain_all(context)


@when('the busy workers are to be drained')
def drain_all(context: Any) -> None:
    """Decide which runs to stop."""
    work = context.work
    sessions = work.scheduler.sessions
    busy = [worker for worker, session in sessions.items() if session.runs]
    drain_workers(work.scheduler, busy, (), work.get_moment())


@when('its job is cancelled')
def cancel(context: Any) -> None:
    """Cancel the job."""
    context.work.cancel(JobId('1' * 16))


@when('the outcome of the stop is "{first}" and then "{second}"')
def answer_stop(context: Any, first: str, second: str) -> None:
    """Answer two orders of the first stop."""
    work = context.work
    session, run = next(
        (session, run)
        for session in work.scheduler.sessions.values()
        for run in session.runs.values()
        if run.is_stop_requested
    )
    for outcome in (first, second):
        order = StopOrder(
            session.announced.worker, 'a', 1, work.term, run.task, run.run
        )
        answer = OrderAnswer(OrderOutcome(outcome))
        session.handle_stop_answer(order, answer, work.now)


@then('{count:d} tasks are to stop')
def check_stops(context: Any, count: int) -> None:
    """Check the number of runs with a requested stop."""
    stopping = [
        run.task
        for session in context.work.scheduler.sessions.values()
        for run in session.runs.values()
        if run.is_stop_requested
    ]
    assert len(stopping) == count, stopping


def _make_announcement(number: int) -> WorkerAnnouncement:
    return make_worker_announcement(WorkerId(f'w{number}'), 1)
