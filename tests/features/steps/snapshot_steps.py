"""Steps with snapshots of the tables of the modelled leader."""

from typing import Any

from behave import then, when

COMMITTED_SECONDS = 0.1


@then('a snapshot keeps the job with {tasks:d} tasks and without its text')
def check_kept(context: Any, tasks: int) -> None:
    """Check what a snapshot keeps of the only job."""
    machine = context.work.machine
    machine.restore(machine.get_snapshot())
    job = next(iter(context.work.tables.jobs.jobs.values()))
    assert not job.is_open, job.state
    assert len(job.tasks) == tasks, job.tasks
    assert not job.spec.text, job.spec.text


@when('the leader changes to one that starts from a snapshot')
def restore_leader(context: Any) -> None:
    """Commit pending records, restore a snapshot and change the leader."""
    context.work.run(COMMITTED_SECONDS)
    machine = context.work.machine
    machine.restore(machine.get_snapshot())
    context.work.change_leader()


@then('some tasks of ended jobs have runs')
def check_runs(context: Any) -> None:
    """Check that ended jobs have runs that must still be stopped."""
    jobs = context.work.tables.jobs.jobs.values()
    assert not any(job.is_open for job in jobs)
    assert any(job.tasks for job in jobs)
