"""Steps with a holder, its log and a worker."""

from asyncio import Runner, create_task, sleep
from typing import Any

from behave import given, then, when

from hornbeamstair_core.clock import get_moment
from tests.support.holder import Holder, make_accepted


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


@when('another process forwards a job to its log')
def forward_job(context: Any) -> None:
    """Have a job come into the log that nobody here proposed."""
    context.loop.run(context.holder.forward((make_accepted(get_moment()),)))


@when('a job is recorded after its proposer gave up')
def give_up(context: Any) -> None:
    """Cancel the commit of a job between its proposal and its record."""
    context.loop.run(_give_up(context.holder))


@then('the worker runs the task within {seconds:d} seconds')
def check_run(context: Any, seconds: int) -> None:
    """Check that the worker got the order."""
    assert context.loop.run(context.holder.wait_for_run(seconds))
    context.loop.run(context.holder.stop())


async def _start() -> Holder:
    holder = Holder()
    await holder.start()
    return holder


async def _give_up(holder: Holder) -> None:
    commit = holder.runner.commit((make_accepted(get_moment()),))
    proposing = create_task(commit)
    await sleep(0)
    proposing.cancel()
    while holder.find_job() is None:
        await sleep(0)
    assert proposing.cancelled()


async def _let_lapse(holder: Holder) -> None:
    await holder.runner.commit((make_accepted(get_moment()),))
    await holder.wait_for_record()
    holder.set_lease(has_lease=False)
