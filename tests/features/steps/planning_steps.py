"""Steps with the planners."""

from asyncio import run
from random import Random
from typing import Any

from attrs import define, evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.order import ObjectiveOrder
from hornbeamstair_callers.jobs.requests import QueuePlace, SubmitJob
from hornbeamstair_callers.jobs.service import JobRequestHandler
from hornbeamstair_callers.jobs.table import Job
from hornbeamstair_core.ids import (
    JobId,
    ProcessId,
    ZoneName,
)
from hornbeamstair_core.log_stream import EventBudget, NonBlockingStream
from hornbeamstair_operators.manifest.messages import (
    AdviceTerms,
    ManifestPut,
)
from hornbeamstair_replicas.failures import NotCommittedFailure
from hornbeamstair_replicas.groups.learning import LearnerGroup
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.learning.members import Member
from hornbeamstair_replicas.learning.source import FeedSource
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.messages import LogEntry, Snapshot, VoterId
from hornbeamstair_replicas.peer_messages import (
    Envelope,
    FeedAnswer,
    ForwardAnswer,
    ForwardRequest,
)
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.work_model import (
    QUEUE,
    SERVICE,
    WorkModel,
    make_manifest,
    make_phase,
)

ZONE = ZoneName('z')
NOW = 100
# A batch of no records in CBOR.
EMPTY_BATCH = b'\x80'


@given('voters a, b and c of which c has been silent for {seconds:d} seconds')
def start_voters(context: Any, seconds: int) -> None:
    """Describe three voters."""
    context.planner = MembershipPlanner()
    context.now = NOW
    context.caught_up = []
    context.learner_ages = {}
    context.contact_ages = {'a/1': 0, 'b/1': 0, 'c/1': seconds}
    for voter in ('a/1', 'b/1'):
        context.planner.handle_report(VoterId(voter), ZONE, NOW)
    context.planner.handle_report(VoterId('c/1'), ZONE, NOW - seconds - 1)


@given('a spare {name:w} that reports')
def report_spare(context: Any, name: str) -> None:
    """Have a spare process report."""
    context.planner.handle_report(VoterId(f'{name}/x'), ZONE, NOW)


@given('a spare d in another zone that reports')
def report_elsewhere(context: Any) -> None:
    """Have a spare process report from a zone without a voter."""
    context.planner.handle_report(VoterId('d/x'), ZoneName('y'), NOW)


@given('{losses:d} losses are to be borne')
def bear_losses(context: Any, losses: int) -> None:
    """Ask for more voters than three."""
    context.planner.losses = losses


@given('voters d and e, silent for {seconds:d} seconds')
def add_silent(context: Any, seconds: int) -> None:
    """Describe two more voters."""
    context.contact_ages.update({'d/1': seconds, 'e/1': seconds})


@when('d is up to date')
def let_catch_up(context: Any) -> None:
    """Count the spare as ready."""
    context.caught_up.append('d/x')


@when('c with its new disk is up to date')
def let_wiped_catch_up(context: Any) -> None:
    """Count the new identity as ready."""
    context.caught_up.append('c/2')


@when('c with its former disk is removed')
def remove_wiped(context: Any) -> None:
    """Count the former identity no longer."""
    context.contact_ages.pop('c/1')


@given('a spare c with a new disk that reports')
def report_wiped(context: Any) -> None:
    """Have the process of a voter report with a new disk."""
    context.planner.handle_report(VoterId('c/2'), ZONE, NOW)


@given('a report of c with a former disk, {age:d} milliseconds old')
def note_former(context: Any, age: int) -> None:
    """Have heard of a former identity before the voter last answered."""
    context.planner.handle_report(VoterId('c/0'), ZONE, NOW - age / 1000)


@when('d votes')
def let_spare_vote(context: Any) -> None:
    """Count the spare among the voters."""
    context.contact_ages['d/x'] = 0


@when('d has not answered for {seconds:d} seconds')
def let_stall(context: Any, seconds: int) -> None:
    """Let the spare that is fed be silent."""
    context.learner_ages = {VoterId('d/x'): seconds}


@then('the spares to be fed are {names}')
def check_fed(context: Any, names: str) -> None:
    """Check which spares are kept up to date."""
    learner_ages = context.planner.choose_learners(
        context.contact_ages,
        context.learner_ages,
        context.now,
    )
    assert learner_ages == tuple(f'{name}/x' for name in names.split()), (
        learner_ages
    )


@then('the plan is to {action} {voter:w}')
def check_plan(context: Any, action: str, voter: str) -> None:
    """Check the next change."""
    suffix = 'x' if voter == 'd' else '1'
    _check_change(context, action, f'{voter}/{suffix}')


@then('the new identity of c is to be added')
def check_wiped_plan(context: Any) -> None:
    """Check that the new identity is added."""
    _check_change(context, 'add', 'c/2')


@then('nothing is planned')
def check_no_plan(context: Any) -> None:
    """Check that nothing changes."""
    assert _plan(context) is None


@given('the order of jobs by what they can still reach')
def make_order(context: Any) -> None:
    """Choose the policy."""
    context.order = ObjectiveOrder()
    context.queue = make_manifest().queues[0]


@then('a job that can still be in time goes before one that cannot')
def check_reachable(context: Any) -> None:
    """Compare a job from long ago with one that has just come."""
    late, new = _make_job(NOW - 10), _make_job(NOW)
    assert _get_key(context, new) < _get_key(context, late)


@then('of two jobs that can, the one that came first goes first')
def check_first(context: Any) -> None:
    """Compare two new jobs."""
    first, second = _make_job(NOW - 0.5), _make_job(NOW)
    assert _get_key(context, first) < _get_key(context, second)


@given('a learner that a snapshot brought past entry {index:d}')
def start_learner(context: Any, index: int) -> None:
    """Feed a learner with a snapshot."""
    own = Member(ProcessId('l'), ZONE, is_voter=False)
    other = Member(ProcessId('v'), ZONE, is_voter=True)
    learner = LearnerGroup(
        'keys',
        TableStateMachine((WorkerTable(),)),
        FeedSource(own, (other,), NOW),
        PlacingTransport(VoterId('l/')),
        lambda: NOW,
    )
    snapshot = Snapshot(index + 1, 1, b'')
    feed = FeedAnswer(snapshot, (), index + 1, VoterId('v/1'), ())
    context.learner = learner
    context.feed = feed


@when('the leader says that a claim has its place at entry {index:d}')
def place_claim(context: Any, index: int) -> None:
    """Forward a claim and take its place."""
    context.outcome = run(_claim(context.learner, context.feed, index))


@then('the claim has no sure outcome')
def check_claim(context: Any) -> None:
    """Check that the claim is not granted."""
    assert context.outcome.is_error(), context.outcome
    assert isinstance(context.outcome.error, NotCommittedFailure)


@given('a log stream whose reader takes nothing')
def start_stream(context: Any) -> None:
    """Make a stream whose writes would block."""

    context.stream = NonBlockingStream(1, _refuse_write)


@when('{count:d} lines are written')
def write_lines(context: Any, count: int) -> None:
    """Write lines of 100 bytes."""
    for _ in range(count):
        context.stream.write(b'x' * 100)


@then('at most {limit:d} bytes are held and the rest is counted')
def check_held(context: Any, limit: int) -> None:
    """Check the bound of the stream."""
    stream = context.stream
    assert stream.held_bytes <= limit, stream.held_bytes
    assert stream.dropped + len(stream.lines) == 10000


@given('an event budget of {burst:d} lines and {rate:d} a second')
def make_budget(context: Any, burst: int, rate: int) -> None:
    """Make a budget."""
    context.budget = EventBudget(burst, rate)


@when('{count:d} lines are asked for at once')
def ask_lines(context: Any, count: int) -> None:
    """Ask for lines at one moment."""
    context.allowed = sum(context.budget.take(1, NOW) for _ in range(count))


@then('{allowed:d} are allowed and {left:d} are counted as left out')
def check_budget(context: Any, allowed: int, left: int) -> None:
    """Check what the budget allowed."""
    assert context.allowed == allowed, context.allowed
    assert context.budget.pop_left_out(1) == left


@given('a voter with {count:d} entries on its disk that comes to lead')
def open_voter(context: Any, count: int) -> None:
    """Open a sole voter whose log is not applied yet."""
    own = VoterId('v/1')
    storage = MemoryLogStorage()
    storage.append(
        [LogEntry(index, 1, EMPTY_BATCH) for index in range(1, count + 1)],
    )
    node = open_node(
        'work',
        own,
        storage,
        TableStateMachine((WorkerTable(),)),
        (own,),
        Timing(),
        Random(1),
        NOW,
    )
    context.group = VotingGroup('work', node, LocalTransport(own), lambda: NOW)
    node.voter.tick(NOW)


@when('its entries are committed but not applied')
def commit_entries(context: Any) -> None:
    """Let the voter count its own sync."""
    context.group.node.voter.note_synced()


@then('it does not serve yet')
def check_not_serving(context: Any) -> None:
    """Check that its state is not shown."""
    role = context.group.node.voter.find_leader_role()
    assert role.ok.can_read(NOW)
    assert not context.group.can_serve()


@when('they are applied')
def apply_entries(context: Any) -> None:
    """Apply what is committed."""
    context.group.node.flush()


@then('it serves')
def check_serving(context: Any) -> None:
    """Check that its state is shown."""
    assert context.group.can_serve()


@given('a manifest whose queue needs advice')
def put_advice(context: Any) -> None:
    """Put a manifest in force whose queue has terms of advice."""
    manifest = make_manifest()
    queue = evolve(manifest.queues[0], advice=AdviceTerms(1, 1, 1))
    context.work = WorkModel(Random(1))
    table = context.work.tables.manifest
    table.apply(ManifestPut(evolve(manifest, version=2, queues=(queue,))))


@when('a job is submitted to its queue')
def submit_advised(context: Any) -> None:
    """Submit a job to the handler of requests."""
    handler = JobRequestHandler(
        context.work.tables,
        None,
        context.work.get_moment,
    )
    place = QueuePlace('host', f'/stops/{"1" * 16}')
    request = SubmitJob(place, _make_job(NOW).spec, 1)
    context.outcome = run(handler.handle(request))


@then('the job is refused with code {code:d} and has not run')
def check_advised(context: Any, code: int) -> None:
    """Check the refusal."""
    failure = context.outcome.error
    assert failure.number == code, failure
    assert not failure.may_have_run
    assert not context.work.tables.jobs.jobs


@define(eq=False)
class PlacingTransport(LocalTransport):
    """Transport whose other end places whatever is forwarded."""

    place: ForwardAnswer | None = None

    def send(self, envelope: Envelope) -> None:
        """Answer a forwarded payload with its place."""
        if isinstance(envelope.message, ForwardRequest):
            self.receivers['keys'](VoterId('v/1'), self.place)

    def deliver_feed(self, feed: FeedAnswer) -> None:
        """Deliver a feed of the leader."""
        self.receivers['keys'](VoterId('v/1'), feed)


async def _claim(learner: LearnerGroup, feed: FeedAnswer, index: int) -> Any:
    learner.start()
    learner.transport.deliver_feed(feed)
    learner.transport.place = ForwardAnswer(1, index, 1)
    outcome = await learner.propose_once(b'claim')
    await learner.stop()
    return outcome


def _refuse_write(descriptor: int, line: bytes) -> int:
    raise BlockingIOError


def _plan(context: Any) -> Any:
    return context.planner.plan(
        VoterId('a/1'),
        context.contact_ages,
        context.caught_up,
        context.now,
    )


def _check_change(context: Any, action: str, voter: str) -> None:
    change = _plan(context)
    assert change is not None
    assert type(change).__name__.lower().startswith(action), change
    assert change.voter == voter, change


def _make_job(accepted_at: float) -> Job:
    spec = JobSpec(JobId('1' * 16), '', (make_phase(2, 1000),))
    return Job(spec, QUEUE, SERVICE, accepted_at)


def _get_key(context: Any, job: Job) -> tuple[float, ...]:
    return context.order.get_key(job, context.queue, NOW)
