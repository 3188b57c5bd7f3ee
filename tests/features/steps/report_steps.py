"""Steps for the reports of operators of similar systems."""

from typing import Any

from behave import then, when

LEAVING = 'w0'


@when('a worker leaves and the leader restarts from a snapshot')
def leave(context: Any) -> None:
    """End a worker after its notice, then replace the leader."""
    work = context.work
    work.run(1)
    worker = work.workers[LEAVING]
    work.scheduler.handle_withdrawal(worker.worker, work.get_moment())
    # It answers nothing from now on.
    worker.is_partitioned = True
    work.change_leader()


@then('nothing was started on the worker that left')
def check_unused(context: Any) -> None:
    """Check that no run was ever tracked or started there."""
    work = context.work
    session = work.scheduler.sessions.get(LEAVING)
    assert session is None or not session.runs, session.runs
    assert not work.workers[LEAVING].highest_runs
