"""Steps with answers that the former incarnation of a worker has given."""

from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.draining import drain_workers
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.messages import WorkerSeen
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.work_model import WorkModel, make_worker_announcement

WORKER = WorkerId('w0')


@when(
    'the worker of one of these tasks announces a restart within {seconds:g} '
    'seconds after its start'
)
def restart_early(context: Any, seconds: float) -> None:
    """Restart a worker as late as the start may still be executed again."""
    work = context.work
    while not _are_proven(work):
        work.step()
    one, other = (
        session for session in work.scheduler.sessions.values() if session.runs
    )
    context.other = other
    run = next(iter(one.runs.values()))
    work.now = run.ordered_at + seconds
    announced = make_worker_announcement(
        one.announced.worker, one.announced.incarnation + 1
    )
    work.scheduler.handle_announcement(announced, work.get_moment())


@when('the host of the other task is to be freed')
def free_host(context: Any) -> None:
    """Drain the worker of the other task."""
    worker = context.other.announced.worker
    moment = context.work.get_moment()
    drain_workers(context.work.scheduler, (worker,), (), moment)


@then('the other task is not stopped')
def check_not_stopped(context: Any) -> None:
    """Check that no stop was requested."""
    assert not context.other.stops, context.other.stops


@given(
    'a table with the announcement {sequence:d} of incarnation '
    '{incarnation:d} of a worker'
)
def make_table(context: Any, sequence: int, incarnation: int) -> None:
    """Make a table with one worker."""
    context.worker_table = WorkerTable()
    record_announcement(context, sequence, incarnation)


@when(
    'the announcement {sequence:d} of its incarnation {incarnation:d} is '
    'recorded'
)
def record_announcement(context: Any, sequence: int, incarnation: int) -> None:
    """Apply the record of an announcement."""
    announced = make_worker_announcement(WORKER, incarnation)
    context.worker_table.apply(WorkerSeen(evolve(announced, sequence=sequence)))


@then(
    'the table holds its announcement {sequence:d} of incarnation '
    '{incarnation:d}'
)
def check_held(context: Any, sequence: int, incarnation: int) -> None:
    """Check which announcement the table holds."""
    held = context.worker_table.workers[WORKER]
    assert (held.sequence, held.incarnation) == (sequence, incarnation), held


def _are_proven(work: WorkModel) -> bool:
    runs = [
        run
        for session in work.scheduler.sessions.values()
        for run in session.runs.values()
    ]
    return bool(runs) and all(run.is_proven for run in runs)
