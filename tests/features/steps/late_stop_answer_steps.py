"""Steps with answers to stops of a former incarnation of a worker."""

from typing import Any

from behave import then, when

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    StopOrder,
)
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.work_model import WorkModel, make_worker_announcement

HIGHER = 1000


@when('the job is cancelled and the stop of its task has no answer yet')
def cancel_job(context: Any) -> None:
    """Cancel the job, and keep a start and a stop of its task."""
    work = context.work
    context.session = next(iter(work.scheduler.sessions.values()))
    run = next(iter(context.session.runs.values()))
    context.start = context.session.make_start(run, 'text', work.now)
    work.cancel(next(iter(work.tables.jobs.jobs)))
    context.stops = _get_stops(work, context.session)


@when('its worker restarts and executes a start of before')
def restart_with_start(context: Any) -> None:
    """Have the start reach the next incarnation before any other order."""
    work = context.work
    worker = work.workers[context.start.worker]
    worker.crash(work.now)
    worker.start(context.start, work.now)
    worker.ignores_starts = False
    announced = make_worker_announcement(worker.worker, worker.incarnation)
    work.scheduler.handle_announcement(announced, work.get_moment())


@when('the former incarnation has confirmed the stop')
def confirm_stop(context: Any) -> None:
    """Deliver the answer of before."""
    _answer_stops(context, OrderOutcome.done)


@when('the stop of an unknown run on each worker has no answer yet')
def stop_unknown(context: Any) -> None:
    """Send the stop of a run that the leader does not know."""
    work = context.work
    stops = []
    for session in work.scheduler.sessions.values():
        session.queue_stop(TaskId('unknown.0.0.0'), 1)
        stops.extend(_get_stops(work, session))
    context.stops = getattr(context, 'stops', stops)


@when('another worker has answered the stops of before')
def answer_for_another(context: Any) -> None:
    """Deliver answers from the address of before."""
    _answer_stops(context, OrderOutcome.other_life)


@when('its worker has seen a higher token than those of the leader')
def raise_token(context: Any) -> None:
    """Have the worker reject the orders of the leader."""
    for worker in context.work.workers.values():
        worker.fencing_token *= HIGHER


@then('its worker runs nothing')
def check_stopped(context: Any) -> None:
    """Check that the task was stopped."""
    runs = [worker.runs for worker in context.work.workers.values()]
    assert not any(runs), runs


def _get_stops(
    work: WorkModel, session: WorkerSession
) -> list[tuple[WorkerSession, StopOrder]]:
    return [(session, stop) for stop in session.get_stops(work.now)]


def _answer_stops(context: Any, outcome: OrderOutcome) -> None:
    scheduler = context.work.scheduler
    moment = context.work.get_moment()
    for session, stop in context.stops:
        answer = OrderAnswer(outcome)
        scheduler.handle_stop_answer(session, stop, answer, moment)
