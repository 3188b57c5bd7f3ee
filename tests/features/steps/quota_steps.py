"""Steps for the quotas and the shares of workspaces."""

from asyncio import run
from random import Random
from types import SimpleNamespace
from typing import Any

from attrs import evolve
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_callers.endpoints.workspace_listing import (
    WorkspaceListingHandler,
)
from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.workspaces.listing import ListWorkspaces
from hornbeamstair_callers.workspaces.quotas import check_quota
from hornbeamstair_core.ids import JobId, PoolName, WorkspaceName
from hornbeamstair_operators.manifest.messages import Workspace
from tests.support.random_work import get_work_settings
from tests.support.work_model import SERVICE, make_phase
from tests.support.workspace_model import QuotaStateMachine, WorkspaceModel


@given('a workspace model with seed {seed:d} and {workers:d} workers')
def make_model(context: Any, seed: int, workers: int) -> None:
    """Start a model without faults."""
    context.model = WorkspaceModel(
        Random(seed),
        workers,
        lost_share=0,
        delayed_share=0,
        fail_share=0,
        refuse_share=0,
    )
    context.workspaces = {}
    context.model.run(1)


@given('the workspace {name} with weight {weight:g} and at most {cpu:d} of CPU')
def add_workspace(context: Any, name: str, weight: float, cpu: int) -> None:
    """Put a manifest with one more workspace in force."""
    workspace = WorkspaceName(name)
    context.workspaces[name] = Workspace(workspace, weight=weight, max_cpu=cpu)
    context.model.put_workspaces(*context.workspaces.values())


@given('the workspace {name} with at most {cpu:d} of CPU')
def make_workspace(context: Any, name: str, cpu: int) -> None:
    """Put a manifest with one workspace in force."""
    make_model(context, 1, 1)
    add_workspace(context, name, 1, cpu)


@when('the limit of {name} {change} to {cpu:d} of CPU')
def change_limit(context: Any, name: str, change: str, cpu: int) -> None:
    """Put another limit in force."""
    context.model.now += 0.001
    add_workspace(context, name, context.workspaces[name].weight, cpu)


@when('{jobs:d} jobs of {tasks:d} tasks of {cpu:d} are accepted for {name}')
def accept(context: Any, jobs: int, tasks: int, cpu: int, name: str) -> None:
    """Accept equal jobs."""
    _accept(context, name, jobs, make_phase(tasks, cpu))


@when(
    '{jobs:d} jobs of {tasks:d} endless tasks of {cpu:d} are accepted for '
    '{name}'
)
def accept_endless(
    context: Any, jobs: int, tasks: int, cpu: int, name: str
) -> None:
    """Accept equal jobs that run until they are cancelled."""
    phase = make_phase(tasks, cpu, lasts=True, max_away=1)
    needs = evolve(phase.needs, spread_limit=0)
    _accept(context, name, jobs, evolve(phase, needs=needs))


def _accept(context: Any, name: str, jobs: int, phase: Any) -> None:
    for _ in range(jobs):
        number = len(context.model.owners) + 1
        context.model.accept_of(name, JobId(f'{number:016x}'), (phase,))


@when('{seconds:g} seconds pass in the model')
def wait(context: Any, seconds: float) -> None:
    """Advance the clock."""
    context.most = {}
    end = context.model.now + seconds
    while context.model.now < end:
        context.model.step()
        for name in context.workspaces:
            used = context.model.get_running(name).cpu
            context.most[name] = max(used, context.most.get(name, 0))


@when(
    'the leader of the model changes {times:d} times within {seconds:g} seconds'
)
def change_leader(context: Any, times: int, seconds: float) -> None:
    """Change the leader again and again."""
    for _ in range(times):
        context.model.change_leader()
        context.model.run(seconds / times)


@when('all workers with runs of {name} fall silent')
def silence(context: Any, name: str) -> None:
    """Partition workers."""
    for worker in context.model.workers.values():
        worker.is_partitioned = bool(worker.runs)


@when(
    '{name} sends {rate:d} and the others {other:d} jobs a second of '
    '{tasks:d} tasks of {cpu:d} for {seconds:d} seconds'
)
def send(
    context: Any,
    name: str,
    rate: int,
    other: int,
    tasks: int,
    cpu: int,
    seconds: int,
) -> None:
    """Accept jobs at steady rates."""
    rates = {**dict.fromkeys(context.workspaces, other), name: rate}
    for step in range(seconds * 20):
        for sender, jobs in rates.items():
            share = jobs / 20
            due = int((step + 1) * share) - int(step * share)
            accept(context, due, tasks, cpu, sender)
        context.model.step()


@then('{name} has {jobs:d} completed jobs')
def check_completed(context: Any, name: str, jobs: int) -> None:
    """Check the completed jobs of a workspace."""
    completed = context.model.count_completed(name, float('inf'))
    assert completed == jobs, completed


@then('{name} has had {cpu:d} of CPU in use')
def check_most(context: Any, name: str, cpu: int) -> None:
    """Check that a workspace could use its limit."""
    assert context.most[name] == cpu, context.most


@then('{name} runs {cpu:d} of CPU')
def check_running(context: Any, name: str, cpu: int) -> None:
    """Check what a workspace runs on the workers."""
    used = context.model.get_running(name).cpu
    assert used == cpu, used


@then('{name} has {cpu:d} of CPU reserved')
def check_reserved(context: Any, name: str, cpu: int) -> None:
    """Check what the leader counts for a workspace."""
    used = context.model.tables.jobs.usage.get_total(name).cpu
    assert used == cpu, used


@then('the waiting work of {name} asks for no more than its limit')
def check_demand(context: Any, name: str) -> None:
    """Check that the demand does not exceed the limit of a workspace."""
    model = context.model
    demand = get_demands(model.scheduler, model.get_moment())[PoolName(SERVICE)]
    limit = context.workspaces[name].max_cpu
    assert demand.usable <= limit, demand
    assert model.scheduler.waiting.get_waiting(model.now)


@then('a job of {count:d} {kind} of {cpu:d} of CPU for {name} is {outcome}')
def check_refusal(
    context: Any, count: int, kind: str, cpu: int, name: str, outcome: str
) -> None:
    """Check whether a job is refused for its size."""
    phase = evolve(make_phase(count, cpu), is_gang=kind == 'gang members')
    spec = JobSpec(JobId('a'), '', (phase,))
    checked = check_quota(context.model.tables.manifest, name, spec)
    assert checked.is_ok() == (outcome == 'accepted'), checked


@then(
    'at least {share:g} of the jobs of north and south end within '
    '{seconds:g} seconds'
)
def check_in_time(context: Any, share: float, seconds: float) -> None:
    """Check what the callers of the usual workspaces get."""
    latest = context.model.now - seconds
    for name in ('north', 'south'):
        sent = sum(
            owner == name and context.model.accepted_at[job] <= latest
            for job, owner in context.model.owners.items()
        )
        done = context.model.count_completed(name, seconds)
        assert done >= sent * share, (name, done, sent)


@then(
    'at least {share:g} of the last {count:d} jobs end within '
    '{seconds:g} seconds'
)
def check_last(context: Any, share: float, count: int, seconds: float) -> None:
    """Check what the callers of the last jobs get."""
    jobs = context.model.tables.jobs.jobs
    last = sorted(jobs.values(), key=lambda job: job.accepted_at)[-count:]
    done = sum(job.ended_at - job.accepted_at <= seconds for job in last)
    assert done >= count * share, done


@then('{name} has more completed jobs than {other}')
def check_more(context: Any, name: str, other: str) -> None:
    """Check that a workspace uses the room that the others leave."""
    completed = context.model.count_completed
    found = completed(name, float('inf')), completed(other, float('inf'))
    assert found[0] > found[1], found


@then(
    '{name} has between {low:g} and {high:g} times the completed jobs of '
    '{other}'
)
def check_ratio(
    context: Any, name: str, low: float, high: float, other: str
) -> None:
    """Check the shares of two workspaces."""
    completed = context.model.count_completed
    ratio = completed(name, float('inf')) / completed(other, float('inf'))
    assert low <= ratio <= high, ratio


@when('a job of {name} is refused for its size')
def refuse(context: Any, name: str) -> None:
    """Refuse a job as the handler of callers' requests does."""
    spec = JobSpec(JobId('a'), '', (make_phase(1, 6001),))
    checked = check_quota(context.model.tables.manifest, name, spec)
    policies = context.model.scheduler.workspaces
    policies.refusals.add(WorkspaceName(name), checked.error)


@then('the list of workspaces shows {name} with')
def check_row(context: Any, name: str) -> None:
    """Check the row of a workspace."""
    reply = _list_workspaces(context, '')
    row = next(row for row in reply.ok.workspaces if row.workspace == name)
    for field, shown in context.table:
        assert str(getattr(row, field)) == shown, (field, getattr(row, field))


@then('the workspace {name} is refused with code {code:d}')
def check_unknown(context: Any, name: str, code: int) -> None:
    """Check that an unknown workspace is refused."""
    assert _list_workspaces(context, name).error.number == code


def _list_workspaces(context: Any, name: str) -> Any:
    model = context.model
    committer = SimpleNamespace(find_scheduler=lambda: model.scheduler)
    handler = WorkspaceListingHandler(model.tables, committer, model.get_moment)
    return run(handler.handle(ListWorkspaces(WorkspaceName(name))))


@then(
    'no quota is passed in {examples:d} random simulations of {steps:d} steps'
)
def check_random(context: Any, examples: int, steps: int) -> None:
    """Run the state machine."""
    run_state_machine_as_test(
        QuotaStateMachine,
        settings=get_work_settings(examples, steps),
    )
