"""Steps on workers whose resources change while they run."""

from typing import Any

from attrs import evolve
from behave import then, when

from hornbeamstair_callers.jobs.messages import JobState
from tests.support.work_model import RESOURCES, ModelWorker


@when('the worker shrinks to {cpu:d} thousandths of a core')
@when('the worker grows to {cpu:d} thousandths of a core')
def resize(context: Any, cpu: int) -> None:
    """Change the resources that the worker announces."""
    worker = _get_worker(context)
    worker.room = evolve(RESOURCES, cpu=cpu)
    worker.resized_at = context.work.now


@when('the leader changes')
def change_leader(context: Any) -> None:
    """Replace the leader once the announcement is recorded."""
    context.work.run(0.5)
    context.work.change_leader()


@when('the worker ignores starts')
def ignore_starts(context: Any) -> None:
    """Have the worker answer polls only."""
    _get_worker(context).ignores_starts = True


@when('the worker executes starts again')
def execute_starts(context: Any) -> None:
    """Have the worker execute starts."""
    _get_worker(context).ignores_starts = False


@then('the worker has run at most {count:d} task at a time')
def check_parallel(context: Any, count: int) -> None:
    """Check the most runs at a time since the worker was resized."""
    assert _get_worker(context).most_runs == count


@then('every job is running')
def check_running(context: Any) -> None:
    """Check that the jobs have started and not ended."""
    jobs = context.work.tables.jobs.jobs.values()
    assert {job.state for job in jobs} == {JobState.running}


def _get_worker(context: Any) -> ModelWorker:
    worker: ModelWorker = next(iter(context.work.workers.values()))
    return worker
