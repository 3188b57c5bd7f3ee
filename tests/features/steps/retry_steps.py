"""Steps with a leader whose group refuses records for a while."""

from asyncio import Runner, sleep
from random import Random
from typing import Any
from unittest.mock import create_autospec

from behave import given, then, when

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import SchedulerState
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.moments import Moment
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_upstreams.work.leases import get_lease_terms
from hornbeamstair_upstreams.work.messages import WorkerSeen
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.simulated_loop import SimulatedClock, SimulatedLoop
from tests.support.work_model import (
    LONGEST_LEASE,
    STOP_SECONDS,
    make_worker_announcement,
)

OWN = VoterId('a')
WORKER = WorkerId('w')
TARGET = VoterId('b')


@given('a leader without other voters')
def make_leader(context: Any) -> None:
    """Create the group and the runner of a sole voter."""
    clock = SimulatedClock()
    state = SchedulerState(JobTable(), ManifestTable(), WorkerTable())
    machine = TableStateMachine((state.jobs, state.manifest, state.workers))
    node = open_node(
        'work',
        OWN,
        MemoryLogStorage(),
        machine,
        (OWN,),
        Timing(),
        Random(1),
        clock.now,
    )
    node.get_time = clock.get_time
    group = VotingGroup('work', node, LocalTransport(OWN), clock.get_time)
    context.clock = clock
    context.work_runner = WorkRunner(
        group,
        machine,
        state,
        create_autospec(WorkerSender, instance=True),
        get_lease_terms(LONGEST_LEASE, STOP_SECONDS),
        Metrics(),
        lambda: Moment(clock.now, clock.now),
        set,
    )


@when('a leadership transfer fails while a record is being committed')
def fail_transfer(context: Any) -> None:
    """Have the group refuse proposals until the transfer times out."""
    with Runner(loop_factory=lambda: SimulatedLoop(context.clock)) as runner:
        runner.run(_fail_transfer(context.work_runner))


@then('the record is committed after a retry')
def check_record(context: Any) -> None:
    """Check that the record was applied."""
    assert WORKER in context.work_runner.state.workers.workers


async def _fail_transfer(work_runner: WorkRunner) -> None:
    work_runner.group.start()
    work_runner.start()
    await sleep(1)
    scheduler = work_runner.find_scheduler()
    assert scheduler is not None
    role = work_runner.group.node.voter.find_leader_role().ok
    role.transfer_target = TARGET
    role.transfer_deadline = work_runner.group.get_time() + 1
    seen = WorkerSeen(make_worker_announcement(WORKER, 1))
    scheduler.effects.append(CommitBatch((seen,)))
    await sleep(3)
    assert work_runner.find_scheduler() is scheduler
    await work_runner.stop()
    await work_runner.group.stop()
