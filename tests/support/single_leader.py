"""Leader that is the only voter, with a worker that executes all orders."""

from asyncio import sleep, timeout
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic
from typing import Any
from unittest.mock import Mock, patch

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import SchedulerState
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.clock import get_moment, get_monotonic_time
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_operators.manifest.messages import ManifestPut
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_replicas.groups.forwarding import ProposalOutcome
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import ForwardRequest
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_upstreams.work.leases import get_lease_terms
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.line_counter import count_lines
from tests.support.work_model import (
    LONGEST_LEASE,
    QUEUE,
    SERVICE,
    STOP_SECONDS,
    make_manifest,
    make_phase,
    make_worker_announcement,
)

VOTER = VoterId('v/1')
JOB = JobId('0000000000000001')
TASK = TaskId('0000000000000001.0.0.0')
# Duration of a poll, as of a long poll that waits for an end in vain.
POLL_SECONDS = 0.02
LIMIT_SECONDS = 10.0


@define(eq=False)
class ObedientSender(WorkerSender):
    """Sender to a simulated worker that executes all orders."""

    name = 'obedient'

    runs: dict[TaskId, int] = field(factory=dict)
    starts: list[StartOrder] = field(factory=list)
    ends: list[EndReport] = field(factory=list)

    def end(self, task: TaskId) -> None:
        """End a run as done."""
        number = len(self.ends) + 1
        run = self.runs.pop(task)
        self.ends.append(EndReport(number, task, run, RunEnd.done, ''))

    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """List the runs, and the ends after the cursor."""
        await sleep(POLL_SECONDS)
        running = tuple(
            RunReport(task, run, '', 0, 0) for task, run in self.runs.items()
        )
        ended = tuple(self.ends[order.cursor :])
        return PollAnswer(OrderOutcome.done, monotonic(), 1, running, ended)

    async def start(
        self,
        order: StartOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Start a run."""
        self.starts.append(order)
        self.runs[order.task] = order.run
        return OrderAnswer(OrderOutcome.done, monotonic(), 1)

    async def stop(
        self,
        order: StopOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Stop a run."""
        self.runs.pop(order.task, None)
        return OrderAnswer(OrderOutcome.done, monotonic(), 1)

    async def close(self) -> None:
        """Do nothing."""


@define(eq=False)
class SlowProposer:
    """Proposer that takes long, and counts the checks of polls meanwhile."""

    propose_once: Callable[..., Awaitable[ProposalOutcome]]
    seconds: float
    checks: Mock
    checked: int | None = None

    async def propose(self, *proposal: Any) -> ProposalOutcome:
        """Propose after a delay."""
        self.checks.reset_mock()
        await sleep(self.seconds)
        self.checked = self.checks.call_count
        return await self.propose_once(*proposal)


@define(eq=False)
class SingleLeader:
    """Runner that leads as the only voter, with its tables and its worker."""

    sender: ObedientSender = field(factory=ObedientSender)
    state: SchedulerState = field(init=False)
    group: VotingGroup = field(init=False)
    runner: WorkRunner = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open an empty log."""
        self.state = SchedulerState(JobTable(), ManifestTable(), WorkerTable())
        machine = TableStateMachine(
            (self.state.jobs, self.state.manifest, self.state.workers),
        )
        node = open_node(
            'work',
            VOTER,
            MemoryLogStorage(),
            machine,
            (VOTER,),
            Timing(),
            Random(1),
            get_monotonic_time(),
        )
        self.group = VotingGroup(
            'work',
            node,
            LocalTransport(VOTER),
            get_monotonic_time,
        )
        self.runner = WorkRunner(
            self.group,
            machine,
            self.state,
            self.sender,
            get_lease_terms(LONGEST_LEASE, STOP_SECONDS),
            Metrics(),
            get_moment,
            tuple,
        )

    async def start(self) -> None:
        """Start to lead, with a manifest and a worker that answers."""
        self.group.start()
        self.runner.start()
        while self.runner.find_scheduler() is None:
            await sleep(0)
        await self.runner.commit((ManifestPut(make_manifest()),))
        announced = make_worker_announcement(WorkerId('w0'), 1)
        scheduler = self.runner.find_scheduler()
        assert scheduler is not None
        scheduler.handle_announcement(announced, get_moment())
        await self.runner.commit((WorkerSeen(announced),))
        moment = get_moment
        while not scheduler.get_usable_sessions(SERVICE, moment()):
            await sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop the runner and its log."""
        await self.runner.stop()
        await self.group.stop()

    def set_lease(self, *, has_lease: bool) -> None:
        """Expire or renew the lease of the leader."""
        self.group.node.voter.find_leader_role().ok.has_lease = has_lease

    async def forward(self, records: tuple[Record, ...]) -> None:
        """Receive records that another process forwards."""
        payload = self.runner.machine.codec.encode(records)
        self.group.transport.receivers[self.group.group](
            VoterId('v2/1'),
            ForwardRequest(1, payload),
        )

    async def count_event(self, joining: int) -> int:
        """Add workers, then count the executed lines of an event."""
        scheduler = self.runner.find_scheduler()
        assert scheduler is not None
        for number in range(joining):
            name = WorkerId(f'w{len(scheduler.sessions)}.{number}')
            scheduler.handle_announcement(
                make_worker_announcement(name, 1), get_moment()
            )
        self.runner._execute_effects(scheduler)
        return count_lines(lambda: self.runner._execute_effects(scheduler))

    def find_job(self) -> Job | None:
        """Find the job of the scenario."""
        return self.state.jobs.jobs.get(JOB)

    async def count_checks(self, seconds: float) -> int:
        """End the run; count the checks of its poll until it is recorded."""
        checks = Mock(wraps=self.runner.poller.leads)
        self.runner.poller.leads = checks
        self.sender.end(TASK)
        propose = SlowProposer(self.group.propose_once, seconds, checks)
        with patch.object(VotingGroup, 'propose_once', propose.propose):
            async with timeout(LIMIT_SECONDS):
                while propose.checked is None:
                    await sleep(POLL_SECONDS)
        return propose.checked

    async def wait_for_record(self) -> None:
        """Wait until the start of the task is in the log."""
        while True:
            job = self.find_job()
            if job is not None and job.get_task(TASK).worker:
                return
            await sleep(0)

    async def wait_for_run(self, seconds: float) -> bool:
        """Wait until the worker runs the task; return whether it does."""
        end = monotonic() + seconds
        while TASK not in self.sender.runs and monotonic() < end:
            await sleep(POLL_SECONDS)
        return TASK in self.sender.runs


def make_accepted(now: Moment) -> Record:
    """Make the record of a job of one task."""
    spec = JobSpec(JOB, 'text', (make_phase(1, 1000),))
    return JobAccepted(spec, QUEUE, SERVICE, now.wall)
