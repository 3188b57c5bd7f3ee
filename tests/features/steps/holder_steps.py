"""Steps with a holder, its log and a worker."""

from asyncio import Runner, sleep
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


@then('the worker runs the task within {seconds:d} seconds')
def check_run(context: Any, seconds: int) -> None:
    """Check that the worker got the order."""
    assert context.loop.run(context.holder.wait_for_run(seconds))
    context.loop.run(context.holder.stop())


async def _start() -> Holder:
    holder = Holder()
    await holder.start()
    return holder


async def _let_lapse(holder: Holder) -> None:
    await holder.runner.commit((make_accepted(get_moment()),))
    await holder.wait_for_record()
    holder.set_lease(has_lease=False)
