"""Steps with a leader whose disk refuses writes for a moment."""

from asyncio import Runner, sleep, timeout
from typing import Any

from behave import given, then, when

from hornbeamstair_core.clock import get_moment
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_upstreams.work.messages import WorkerSeen
from tests.support.fencing_worker import FencingSender
from tests.support.single_leader import (
    LIMIT_SECONDS,
    POLL_SECONDS,
    SingleLeader,
    make_accepted,
)
from tests.support.work_model import SERVICE, make_worker_announcement


@given('a leader with a worker that refuses lower fencing tokens')
def start_leader(context: Any) -> None:
    """Start a leader that is the only voter."""
    context.loop = Runner()
    context.add_cleanup(context.loop.close)
    context.leader = context.loop.run(_start())


@when('the worker restarts')
def restart_worker(context: Any) -> None:
    """Restart the worker under its ID and wait until it is usable."""
    context.loop.run(_restart(context.leader))


@when('the disk of the leader refuses writes for {seconds:g} seconds')
def refuse_writes(context: Any, seconds: float) -> None:
    """Have the disk refuse a write, and wait until the leader leads again."""
    context.loop.run(_refuse(context.leader, seconds))


@when('a job is accepted')
def accept_job(context: Any) -> None:
    """Commit a job."""
    context.loop.run(context.leader.runner.commit((_make_job(),)))


@then('the worker is ordered to run the task within {seconds:d} seconds')
def check_run(context: Any, seconds: int) -> None:
    """Wait for the run."""
    runs = context.loop.run(context.leader.wait_for_run(seconds))
    context.loop.run(context.leader.stop())
    assert runs


async def _start() -> SingleLeader:
    leader = SingleLeader(FencingSender())
    await leader.start()
    return leader


async def _restart(leader: SingleLeader) -> None:
    sender = leader.sender
    assert isinstance(sender, FencingSender)
    sender.restart()
    announced = make_worker_announcement(WorkerId('w0'), sender.incarnation)
    scheduler = leader.runner.find_scheduler()
    assert scheduler is not None
    scheduler.handle_announcement(announced, get_moment())
    await leader.runner.commit((WorkerSeen(announced),))
    async with timeout(LIMIT_SECONDS):
        while not scheduler.get_usable_sessions(SERVICE, get_moment()):
            await sleep(POLL_SECONDS)


async def _refuse(leader: SingleLeader, seconds: float) -> None:
    storage: Any = leader.group.node.storage
    storage.fails_sync = True
    payload = leader.runner.machine.codec.encode(())
    refused = await leader.group.propose_once(payload)
    assert refused.is_error()
    await sleep(seconds)
    storage.fails_sync = False
    async with timeout(LIMIT_SECONDS):
        while leader.runner.find_scheduler() is None:
            await sleep(POLL_SECONDS)


def _make_job() -> Any:
    return make_accepted(get_moment())
