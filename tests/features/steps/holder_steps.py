"""Steps with a holder, its log and a worker."""

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
from tests.support.holder import (
    LIMIT_SECONDS,
    TASK,
    Holder,
    make_accepted,
)


@given('a holder with a worker')
def start_holder(context: Any) -> None:
    """Start a holder that leads alone."""
    context.loop = Runner()
    context.add_cleanup(context.loop.close)
    context.holder = context.loop.run(_start())


@when('the lease of the leader lapses as the start of a task is recorded')
def let_lease_lapse(context: Any) -> None:
    """Have the lease lapse between the record and the order."""
    context.loop.run(_let_lapse(context.holder))


@when('the lease is renewed {seconds:g} seconds later')
def renew_lease(context: Any, seconds: float) -> None:
    """Renew the lease of the same term."""
    context.loop.run(sleep(seconds))
    context.holder.set_lease(has_lease=True)


@when('its term is over and a start of the next leader is applied')
def apply_next(context: Any) -> None:
    """Have the log hold a start of the next leader before the runner knows."""
    context.loop.run(_apply_next(context.holder))


@then('it says nothing of that run for {seconds:g} seconds')
def check_unsaid(context: Any, seconds: float) -> None:
    """Check that the run is not ended by the process that led before."""
    context.loop.run(sleep(seconds))
    job = context.holder.find_job()
    task = job.get_task(TASK)
    assert (task.run, task.worker) == (1, 'w0'), task
    context.loop.run(context.holder.stop())


@when('another process forwards a job to its log')
def forward_job(context: Any) -> None:
    """Have a job come into the log that nobody here proposed."""
    context.loop.run(context.holder.forward((make_accepted(get_moment()),)))


@when('a job is recorded after its proposer gave up')
def give_up(context: Any) -> None:
    """Cancel the commit of a job between its proposal and its record."""
    context.loop.run(_give_up(context.holder))


@when(
    'it has nothing to carry out with {few:d} and then with {many:d} '
    'more workers',
)
def carry_out_nothing(context: Any, few: int, many: int) -> None:
    """Count what an event costs as workers join."""
    context.costs = [
        context.loop.run(context.holder.count_event(count))
        for count in (few, many)
    ]


@when('the end of a run takes {seconds:g} seconds to be recorded')
def record_slowly(context: Any, seconds: float) -> None:
    """Have a run end while the log is slow."""
    holder = context.holder
    accepted = (make_accepted(get_moment()),)
    context.loop.run(holder.runner.commit(accepted))
    assert context.loop.run(holder.wait_for_run(seconds=2))
    asked = context.loop.run(holder.count_questions(seconds))
    context.rate = asked / seconds


@then('its look asks at most {rate:d} times a second whether it may go on')
def check_rate(context: Any, rate: int) -> None:
    """Compare with the ticks of the holder."""
    context.loop.run(context.holder.stop())
    assert context.rate <= rate, context.rate


@then('that costs at most {factor:g} times as much with more workers')
def check_costs(context: Any, factor: float) -> None:
    """Compare the counts."""
    context.loop.run(context.holder.stop())
    few, many = context.costs
    assert many <= few * factor, context.costs


@when('{events:d} events with {records:d} records each come together')
def record_events(context: Any, events: int, records: int) -> None:
    """Have a holder decide much between two batches of its log."""
    context.jobs = [
        [JobId(f'{event:08x}{record:08x}') for record in range(records)]
        for event in range(events)
    ]
    index = context.holder.group.get_applied_index()
    context.applied = context.loop.run(
        _record_events(context.holder, context.jobs),
    )
    context.entries = context.holder.group.get_applied_index() - index


@then('their records are applied in order from {entries:d} entries')
@then('their records are applied in order from {entries:d} entry')
def check_entries(context: Any, entries: int) -> None:
    """Count the entries of the log."""
    context.loop.run(context.holder.stop())
    assert context.applied == list(chain.from_iterable(context.jobs))
    assert context.entries == entries, context.entries


@then('the worker runs the task within {seconds:d} seconds')
def check_run(context: Any, seconds: int) -> None:
    """Check that the worker got the order."""
    assert context.loop.run(context.holder.wait_for_run(seconds))
    context.loop.run(context.holder.stop())


async def _start() -> Holder:
    holder = Holder()
    await holder.start()
    return holder


async def _record_events(
    holder: Holder,
    events: list[list[JobId]],
) -> list[JobId]:
    runner = holder.runner
    scheduler = runner.find_scheduler()
    assert scheduler is not None
    for jobs in events:
        records = tuple(JobsForgotten((job,)) for job in jobs)
        scheduler.effects.append(CommitBatch(records))
        runner._carry_out(scheduler)
    with patch.object(JobTable, 'apply') as applying:
        async with timeout(LIMIT_SECONDS):
            while len(applying.call_args_list) < sum(map(len, events)):
                await sleep(0)
    return [call.args[0].jobs[0] for call in applying.call_args_list]


async def _give_up(holder: Holder) -> None:
    commit = holder.runner.commit((make_accepted(get_moment()),))
    proposing = create_task(commit)
    await sleep(0)
    proposing.cancel()
    while holder.find_job() is None:
        await sleep(0)
    assert proposing.cancelled()


async def _apply_next(holder: Holder) -> None:
    # The loop is late: the next tick comes after what follows.
    holder.runner.ticking.cancel()
    holder.set_lease(has_lease=False)
    await holder.runner.commit((make_accepted(get_moment()),))
    state = holder.group.node.voter.state
    state.vote = evolve(state.vote, term=state.term + 1)
    holder.state.jobs.apply(RunStarted(TASK, 1, WorkerId('w0'), 1))
    for _ in range(10):
        await sleep(0)


async def _let_lapse(holder: Holder) -> None:
    await holder.runner.commit((make_accepted(get_moment()),))
    await holder.wait_for_record()
    holder.set_lease(has_lease=False)
