"""Steps with membership plans, job order and bounded logging."""

from asyncio import run
from random import Random
from typing import Any

from attrs import define, evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import JobSpec, JobState
from hornbeamstair_callers.jobs.ranking import ObjectiveRanking
from hornbeamstair_callers.jobs.requests import QueueAddress, SubmitJob
from hornbeamstair_callers.jobs.run_times import DeclaredRunTimes
from hornbeamstair_callers.jobs.service import JobRequestHandler
from hornbeamstair_core.ids import (
    JobId,
    ProcessId,
    ZoneName,
)
from hornbeamstair_core.log_stream import EventRateLimiter, NonBlockingStream
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
from hornbeamstair_replicas.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    VoterId,
)
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
# Empty batch of records in CBOR.
EMPTY_BATCH = b'\x80'


@given(
    'voters a, b and c of which c has been unresponsive for '
    '{seconds:d} seconds',
)
def start_voters(context: Any, seconds: int) -> None:
    """Set up three voters."""
    context.planner = MembershipPlanner()
    context.now = NOW
    context.caught_up = []
    context.learner_ages = {}
    context.contact_ages = {'a/1': 0, 'b/1': 0, 'c/1': seconds}
    for voter in ('a/1', 'b/1'):
        context.planner.handle_report(VoterId(voter), ZONE, NOW)
    context.planner.handle_report(VoterId('c/1'), ZONE, NOW - seconds - 1)


@given('a non-voter {name:w} that reports')
def report_non_voter(context: Any, name: str) -> None:
    """Let a non-voting process report."""
    context.planner.handle_report(VoterId(f'{name}/x'), ZONE, NOW)


@given('a non-voter d in another zone that reports')
def report_elsewhere(context: Any) -> None:
    """Let a non-voting process report from a zone without a voter."""
    context.planner.handle_report(VoterId('d/x'), ZoneName('y'), NOW)


@given('a fault tolerance of {fault_tolerance:d}')
def set_fault_tolerance(context: Any, fault_tolerance: int) -> None:
    """Set the fault tolerance of the planner."""
    context.planner.losses = fault_tolerance


@given('voters d and e, unresponsive for {seconds:d} seconds')
def add_unresponsive(context: Any, seconds: int) -> None:
    """Add two more voters."""
    context.contact_ages.update({'d/1': seconds, 'e/1': seconds})


@when('d has caught up')
def let_catch_up(context: Any) -> None:
    """Mark the learner as caught up."""
    context.caught_up.append('d/x')


@when('the new voter ID of c has caught up')
def let_wiped_catch_up(context: Any) -> None:
    """Mark the new voter ID as caught up."""
    context.caught_up.append('c/2')


@when('the old voter ID of c is removed')
def remove_wiped(context: Any) -> None:
    """Remove the old voter ID from the voters."""
    context.contact_ages.pop('c/1')


@given('a non-voter c with a new disk that reports')
def report_wiped(context: Any) -> None:
    """Let the process of a voter report under a new voter ID."""
    context.planner.handle_report(VoterId('c/2'), ZONE, NOW)


@given('a report of a previous voter ID of c, {age:d} milliseconds old')
def add_previous_report(context: Any, age: int) -> None:
    """Add a report that is older than the last answer of the voter."""
    context.planner.handle_report(VoterId('c/0'), ZONE, NOW - age / 1000)


@when('d is a voter')
def let_non_voter_vote(context: Any) -> None:
    """Add the non-voter to the voters."""
    context.contact_ages['d/x'] = 0


@when('d has not answered for {seconds:d} seconds')
def let_stall(context: Any, seconds: int) -> None:
    """Make the learner unresponsive."""
    context.learner_ages = {VoterId('d/x'): seconds}


@then('the learners are {names}')
def check_learners(context: Any, names: str) -> None:
    """Check the chosen learners."""
    learners = context.planner.choose_learners(
        context.contact_ages,
        context.learner_ages,
        context.now,
    )
    assert learners == tuple(f'{name}/x' for name in names.split()), learners


@then('the plan is to {action} {voter:w}')
def check_plan(context: Any, action: str, voter: str) -> None:
    """Check the next planned change."""
    suffix = 'x' if voter == 'd' else '1'
    _check_change(context, action, f'{voter}/{suffix}')


@then('the new voter ID of c is to be added')
def check_wiped_plan(context: Any) -> None:
    """Check that the new voter ID is added next."""
    _check_change(context, 'add', 'c/2')


@then('nothing is planned')
def check_no_plan(context: Any) -> None:
    """Check that no change is planned."""
    assert _plan(context) is None


@given('the job order by objective')
def make_order(context: Any) -> None:
    """Create the job order."""
    context.order = ObjectiveRanking(DeclaredRunTimes())
    context.queue = make_manifest().queues[0]


@then(
    'a job that can still meet its objective comes before one that cannot',
)
def check_reachable(context: Any) -> None:
    """Compare a job accepted long ago with one accepted now."""
    late, new = _make_job(NOW - 10), _make_job(NOW)
    assert _get_key(context, new) < _get_key(context, late)


@then('of two jobs that can, the one accepted first comes first')
def check_first(context: Any) -> None:
    """Compare two recently accepted jobs."""
    first, second = _make_job(NOW - 0.5), _make_job(NOW)
    assert _get_key(context, first) < _get_key(context, second)


@then('a job that may run too long comes last only if it has not begun')
def check_begun(context: Any) -> None:
    """Compare jobs that end in time unless a task takes 1.3 s, not 1 s."""
    new, waiting, begun = map(_make_job, (NOW, NOW - 1.75, NOW - 1.75))
    begun.state = JobState.running
    order = sorted(
        (waiting, new, begun), key=lambda job: _get_key(context, job)
    )
    assert order == [begun, new, waiting], order


@given('a learner whose snapshot covers entry {index:d}')
def start_learner(context: Any, index: int) -> None:
    """Create a learner and a feed with a snapshot."""
    learner = _make_learner()
    snapshot = Snapshot(index + 1, 1, b'')
    feed = FeedAnswer(snapshot, (), index + 1, VoterId('v/1'), ())
    context.learner = learner
    context.feed = feed


@given('a learner without entries')
def start_empty_learner(context: Any) -> None:
    """Create a learner that receives feeds."""
    context.learner = _make_learner()
    run(_listen(context.learner))


@when(
    'it is fed the entries from {first:d} to {last:d} that its previous '
    'process asked for'
)
@when('it is fed the entries from {first:d} to {last:d}')
def feed_learner(context: Any, first: int, last: int) -> None:
    """Deliver a feed."""
    entries = tuple(
        LogEntry(index, 1, b'', EntryKind.empty)
        for index in range(first, last + 1)
    )
    feed = FeedAnswer(None, entries, last, VoterId('v/1'), ())
    context.learner.transport.deliver_feed(feed)


@then('the learner has applied {count:d} entries')
def check_applied(context: Any, count: int) -> None:
    """Check the index of the last applied entry."""
    assert context.learner.get_applied_index() == count


@when('the leader answers that a claim was appended as entry {index:d}')
def place_claim(context: Any, index: int) -> None:
    """Forward a claim and receive its log position."""
    context.outcome = run(_claim(context.learner, context.feed, index))


@then('the outcome of the claim is unknown')
def check_claim(context: Any) -> None:
    """Check that the claim is not reported as committed."""
    assert context.outcome.is_error(), context.outcome
    assert isinstance(context.outcome.error, NotCommittedFailure)


@given('a log stream whose reader has stalled')
def start_stream(context: Any) -> None:
    """Create a stream whose writes would block."""

    context.stream = NonBlockingStream(1, _refuse_write)


@when('{count:d} lines are written')
def write_lines(context: Any, count: int) -> None:
    """Write lines of 100 bytes."""
    for _ in range(count):
        context.stream.write(b'x' * 100)


@then(
    'at most {limit:d} bytes are buffered and the rest is counted as dropped',
)
def check_buffered(context: Any, limit: int) -> None:
    """Check the buffer limit of the stream."""
    stream = context.stream
    assert stream.buffered_bytes <= limit, stream.buffered_bytes
    assert stream.dropped + len(stream.lines) == 10000


@given(
    'an event rate limit of {rate:d} lines a second with a burst of {burst:d}',
)
def make_rate_limiter(context: Any, burst: int, rate: int) -> None:
    """Create a rate limiter of events."""
    context.limiter = EventRateLimiter(burst, rate)


@when('{count:d} lines are requested at once')
def ask_lines(context: Any, count: int) -> None:
    """Request lines at one time."""
    context.allowed = sum(context.limiter.take(1, NOW) for _ in range(count))


@then('{allowed:d} are allowed and {dropped:d} are counted as dropped')
def check_rate_limit(context: Any, allowed: int, dropped: int) -> None:
    """Check the numbers of allowed and dropped lines."""
    assert context.allowed == allowed, context.allowed
    assert context.limiter.pop_dropped(1) == dropped


@given('a voter with {count:d} stored entries that becomes the leader')
def open_voter(context: Any, count: int) -> None:
    """Open a single voter whose log is not applied yet."""
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
    """Mark the entries of the voter as synced."""
    context.group.node.voter.set_synced()


@then('it does not serve reads yet')
def check_not_serving(context: Any) -> None:
    """Check that the group refuses reads."""
    role = context.group.node.voter.find_leader_role()
    assert role.ok.can_read(NOW)
    assert not context.group.can_serve()


@when('they are applied')
def apply_entries(context: Any) -> None:
    """Apply the committed entries."""
    context.group.node.flush()


@then('it serves reads')
def check_serving(context: Any) -> None:
    """Check that the group serves reads."""
    assert context.group.can_serve()


@given('a manifest whose queue needs advice')
def put_advised_manifest(context: Any) -> None:
    """Apply a manifest whose queue has advice terms."""
    manifest = make_manifest()
    queue = evolve(manifest.queues[0], advice=AdviceTerms(1, 1, 1))
    context.work = WorkModel(Random(1))
    table = context.work.tables.manifest
    table.apply(ManifestPut(evolve(manifest, version=2, queues=(queue,))))


@when('a job is submitted to its queue')
def submit_advised(context: Any) -> None:
    """Submit a job to the request handler."""
    handler = JobRequestHandler(
        context.work.tables,
        None,
        context.work.get_moment,
    )
    address = QueueAddress('host', f'/stops/{"1" * 16}')
    request = SubmitJob(address, _make_job(NOW).spec, 1)
    context.outcome = run(handler.handle(request))


@then('the job is refused with code {code:d} and has not run')
def check_advised(context: Any, code: int) -> None:
    """Check the failure code and that no job was stored."""
    failure = context.outcome.error
    assert failure.number == code, failure
    assert not failure.may_have_run
    assert not context.work.tables.jobs.jobs


@define(eq=False)
class PlacingTransport(LocalTransport):
    """Transport that answers forwarded payloads with a set position."""

    index: int = 0

    def send(self, envelope: Envelope) -> None:
        """Answer a forwarded payload with its log position."""
        if isinstance(envelope.message, ForwardRequest):
            number = envelope.message.number
            place = ForwardAnswer(number, self.index, 1)
            self.receivers['keys'](VoterId('v/1'), place)

    def deliver_feed(self, feed: FeedAnswer) -> None:
        """Deliver a feed answer from the leader."""
        self.receivers['keys'](VoterId('v/1'), feed)


def _make_learner() -> LearnerGroup:
    own = Member(ProcessId('l'), ZONE, is_voter=False)
    other = Member(ProcessId('v'), ZONE, is_voter=True)
    return LearnerGroup(
        'keys',
        TableStateMachine((WorkerTable(),)),
        FeedSource(own, (other,), NOW),
        PlacingTransport(VoterId('l/')),
        lambda: NOW,
    )


async def _listen(learner: LearnerGroup) -> None:
    learner.start()
    await learner.stop()


async def _claim(learner: LearnerGroup, feed: FeedAnswer, index: int) -> Any:
    learner.start()
    learner.transport.deliver_feed(feed)
    learner.transport.index = index
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
