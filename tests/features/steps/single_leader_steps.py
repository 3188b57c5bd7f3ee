"""Steps with a leader, its log and a worker."""

from asyncio import Runner, create_task, sleep, timeout
from itertools import chain
from typing import Any
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_callers.jobs.records import JobsForgotten, RunStarted
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.clock import get_moment
from hornbeamstair_core.ids import JobId, WorkerId
from tests.support.single_leader import (
    LIMIT_SECONDS,
    TASK,
    SingleLeader,
    make_accepted,
)


@given('a leader with a worker')
def start_leader(context: Any) -> None:
    """Start a leader that is the only voter."""
    context.loop = Runner()
    context.add_cleanup(context.loop.close)
    context.leader = context.loop.run(_start())


@when("the leader's lease expires while the start of a task is recorded")
def expire_lease(context: Any) -> None:
    """Expire the lease between the record and the order of a start."""
    context.loop.run(_expire_lease(context.leader))


@when('the lease is renewed {seconds:g} seconds later')
def renew_lease(context: Any, seconds: float) -> None:
    """Renew the lease of the same term."""
    context.loop.run(sleep(seconds))
    context.leader.set_lease(has_lease=True)


@when('its term ends and a start by the next leader is applied')
def apply_next(context: Any) -> None:
    """Apply a start by the next leader before the runner notices its term."""
    context.loop.run(_apply_next(context.leader))


@then('it does not end that run within {seconds:g} seconds')
def check_not_ended(context: Any, seconds: float) -> None:
    """Check that the previous leader does not end the run."""
    context.loop.run(sleep(seconds))
    job = context.leader.find_job()
    task = job.get_task(TASK)
    assert (task.run, task.worker) == (1, 'w0'), task
    context.loop.run(context.leader.stop())


@when('another process forwards a job to its log')
def forward_job(context: Any) -> None:
    """Apply a job that another process proposed."""
    context.loop.run(context.leader.forward((make_accepted(get_moment()),)))


@when('a job is recorded after its proposer was cancelled')
def cancel_proposer(context: Any) -> None:
    """Cancel the commit of a job between its proposal and its record."""
    context.loop.run(_cancel_proposer(context.leader))


@when(
    'it handles an event without effects with {few:d} and then '
    'with {many:d} more workers',
)
def handle_events(context: Any, few: int, many: int) -> None:
    """Count the executed lines of an event after few and many workers join."""
    context.costs = [
        context.loop.run(context.leader.count_event(count))
        for count in (few, many)
    ]


@when('the end of a run takes {seconds:g} seconds to be recorded')
def record_slowly(context: Any, seconds: float) -> None:
    """End a run while commits are slow."""
    leader = context.leader
    accepted = (make_accepted(get_moment()),)
    context.loop.run(leader.runner.commit(accepted))
    assert context.loop.run(leader.wait_for_run(seconds=2))
    checks = context.loop.run(leader.count_checks(seconds))
    context.rate = checks / seconds


@then('its poll checks at most {rate:d} times a second whether it may start')
def check_rate(context: Any, rate: int) -> None:
    """Check the rate, which the ticks of the leader determine."""
    context.loop.run(context.leader.stop())
    assert context.rate <= rate, context.rate


@then('that executes at most {factor:g} times as many lines with more workers')
def check_costs(context: Any, factor: float) -> None:
    """Compare the numbers of executed lines."""
    context.loop.run(context.leader.stop())
    few, many = context.costs
    assert many <= few * factor, context.costs


@when('{events:d} events with {records:d} records each are handled together')
def record_events(context: Any, events: int, records: int) -> None:
    """Execute many decisions before the log writes its next batch."""
    context.jobs = [
        [JobId(f'{event:08x}{record:08x}') for record in range(records)]
        for event in range(events)
    ]
    index = context.leader.group.get_applied_index()
    context.applied = context.loop.run(
        _record_events(context.leader, context.jobs),
    )
    context.entries = context.leader.group.get_applied_index() - index


@then('their records are applied in order from {entries:d} entries')
@then('their records are applied in order from {entries:d} entry')
def check_entries(context: Any, entries: int) -> None:
    """Check the order of the records and the number of entries."""
    context.loop.run(context.leader.stop())
    assert context.applied == list(chain.from_iterable(context.jobs))
    assert context.entries == entries, context.entries


@then('the worker runs the task within {seconds:d} seconds')
def check_run(context: Any, seconds: int) -> None:
    """Check that the worker starts the task."""
    assert context.loop.run(context.leader.wait_for_run(seconds))
    context.loop.run(context.leader.stop())


async def _start() -> SingleLeader:
    leader = SingleLeader()
    await leader.start()
    return leader


async def _record_events(
    leader: SingleLeader,
    events: list[list[JobId]],
) -> list[JobId]:
    runner = leader.runner
    scheduler = runner.find_scheduler()
    assert scheduler is not None
    for jobs in events:
        records = tuple(JobsForgotten((job,)) for job in jobs)
        scheduler.effects.append(CommitBatch(records))
        runner._execute_effects(scheduler)
    with patch.object(JobTable, 'apply') as applying:
        async with timeout(LIMIT_SECONDS):
            while len(applying.call_args_list) < sum(map(len, events)):
                await sleep(0)
    return [call.args[0].jobs[0] for call in applying.call_args_list]


async def _cancel_proposer(leader: SingleLeader) -> None:
    commit = leader.runner.commit((make_accepted(get_moment()),))
    proposing = create_task(commit)
    await sleep(0)
    proposing.cancel()
    while leader.find_job() is None:
        await sleep(0)
    assert proposing.cancelled()


async def _apply_next(leader: SingleLeader) -> None:
    # Simulates a late loop: the next tick comes after what follows.
    leader.runner.tick_task.cancel()
    leader.set_lease(has_lease=False)
    await leader.runner.commit((make_accepted(get_moment()),))
    state = leader.group.node.voter.state
    state.vote = evolve(state.vote, term=state.term + 1)
    leader.state.jobs.apply(RunStarted(TASK, 1, WorkerId('w0'), 1))
    for _ in range(10):
        await sleep(0)


async def _expire_lease(leader: SingleLeader) -> None:
    await leader.runner.commit((make_accepted(get_moment()),))
    await leader.wait_for_record()
    leader.set_lease(has_lease=False)
