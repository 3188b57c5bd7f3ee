"""Hypothesis state machine over processes, upstreams and idempotency keys."""

from asyncio import Event, Runner, wait_for
from collections import Counter
from enum import Enum
from random import Random
from typing import Any

from attrs import define, field
from expression import Error, Ok, Result
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from hornbeamstair_callers.dispatcher import Dispatcher
from hornbeamstair_callers.key_codec import KeyStateMachine
from hornbeamstair_callers.key_store import KeyStore
from hornbeamstair_callers.messages import CallRequest
from hornbeamstair_callers.runner import CallResult, CallRunner
from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_operators.limits import ServiceLimits
from hornbeamstair_operators.messages import Urgency
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_tools.samples import make_announcement
from hornbeamstair_upstreams.choosers.two_choices import TwoChoicesChooser
from hornbeamstair_upstreams.directory import UpstreamDirectory
from hornbeamstair_upstreams.messages import (
    Attempt,
    AttemptEnd,
    AttemptFailure,
    UpstreamAnswer,
    UpstreamRequest,
)
from hornbeamstair_upstreams.sender import UpstreamSender

__all__ = ('CallMachine',)

FEES = ServiceName('fees')
LOG = ServiceName('log')
CUSTOMER = CustomerId('grinders')
ENTRIES = 'entry-1', 'entry-2'
VOTER = VoterId('a')


class PlannedOutcome(Enum):
    """Simulated outcome of an attempt."""

    answer = 'answer'
    unreachable = 'unreachable'
    not_run = 'not_run'
    run_without_answer = 'run_without_answer'
    lost_before_run = 'lost_before_run'
    run_then_crash = 'run_then_crash'


class CrashError(Exception):
    """Crash of the entry process during an attempt."""


@define
class FakeSender(UpstreamSender):
    """Fake upstreams that follow planned outcomes and count the runs."""

    planned_outcomes: list[PlannedOutcome] = field(factory=list)
    runs: Counter[str] = field(factory=Counter)

    async def send(
        self,
        attempt: Attempt,
        request: UpstreamRequest,
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        """Simulate the next planned outcome; answer if there is none."""
        planned = (
            self.planned_outcomes.pop(0)
            if self.planned_outcomes
            else PlannedOutcome.answer
        )
        name = request.body.decode()
        if planned in {
            PlannedOutcome.answer,
            PlannedOutcome.run_without_answer,
            PlannedOutcome.run_then_crash,
        }:
            self.runs[name] += 1
        match planned:
            case PlannedOutcome.answer:
                return Ok(UpstreamAnswer(200, (), request.body))
            case PlannedOutcome.run_then_crash:
                raise CrashError
            case PlannedOutcome.unreachable:
                return _fail(AttemptEnd.connect_failed, may_have_run=False)
            case PlannedOutcome.not_run:
                return _fail(AttemptEnd.refused_by_upstream, may_have_run=False)
            case _:
                return _fail(AttemptEnd.no_answer, may_have_run=True)

    async def close(self) -> None:
        """Do nothing."""


def _fail(end: AttemptEnd, *, may_have_run: bool) -> Any:
    return Error(AttemptFailure(end, may_have_run, 'planned'))


class CallMachine(RuleBasedStateMachine):
    """Random calls, resends and crashes; the oracle counts runs per call."""

    @initialize(seed=strategies.integers(0, 2**16))
    def initialize_machine(self, seed: int) -> None:
        """Start two entry processes over one log of keys."""
        self.runner = Runner()
        self.rng = Random(seed)
        self.now = 100.0
        self.starts = 0
        self.storage = MemoryLogStorage()
        self.sender = FakeSender()
        self.directory = UpstreamDirectory()
        self.answers: dict[str, bytes] = {}
        self.count = 0
        self.start()

    def start(self) -> None:
        """Start or restart the processes from the synced log."""
        self.starts += 1
        self.machine = KeyStateMachine()
        node = open_node(
            'keys',
            VOTER,
            self.storage,
            self.machine,
            (VOTER,),
            Timing(),
            self.rng,
            self.now,
        )
        node.snapshot_entries = 7
        self.group = VotingGroup(
            'keys',
            node,
            LocalTransport(VOTER),
            lambda: self.now,
        )
        self.runner.run(self.start_group())
        self.entries = {name: self.make_entry(name) for name in ENTRIES}
        self.announce()

    async def start_group(self) -> None:
        """Start the group of the key log."""
        self.group.start()

    def make_entry(self, name: str) -> CallRunner:
        """Make one entry process with the limits of one contract."""
        dispatcher = Dispatcher(self.directory, TwoChoicesChooser(), self.rng)
        limits = [
            _make_limits(service, idempotent=service == LOG)
            for service in (FEES, LOG)
        ]
        dispatcher.set_limits(limits, self.now)
        owner = f'{name}/{self.starts}'
        keys = KeyStore(self.group, self.machine, owner, lambda: self.now)
        return CallRunner(
            dispatcher,
            self.sender,
            keys,
            Metrics(),
            lambda: self.now,
        )

    def announce(self) -> None:
        """Renew the lease of every upstream."""
        for service in (FEES, LOG):
            for number in range(3):
                announcement = make_announcement(number, service)
                self.directory.announce(announcement, self.now)
        self.directory.expire(self.now)

    @rule(
        service=strategies.sampled_from((FEES, LOG)),
        entry=strategies.sampled_from(ENTRIES),
        planned_outcomes=strategies.lists(
            strategies.sampled_from(PlannedOutcome), max_size=4
        ),
    )
    def call(
        self,
        service: ServiceName,
        entry: str,
        planned_outcomes: list[PlannedOutcome],
    ) -> None:
        """Send a call without a key."""
        self.count += 1
        name = f'call-{self.count}'
        outcome = self.send(entry, service, '', name, planned_outcomes)
        if outcome is None:
            assert self.sender.runs[name] <= 1 or service == LOG
            return
        if outcome.is_ok():
            assert outcome.ok.body == name.encode()
        elif not outcome.error.may_have_run:
            assert self.sender.runs[name] == 0, outcome
        assert self.sender.runs[name] <= 1 or service == LOG, outcome

    @rule(
        number=strategies.integers(1, 5),
        entry=strategies.sampled_from(ENTRIES),
        planned_outcomes=strategies.lists(
            strategies.sampled_from(PlannedOutcome), max_size=4
        ),
    )
    def call_keyed(
        self, number: int, entry: str, planned_outcomes: list[PlannedOutcome]
    ) -> None:
        """Send or resend a keyed call through an entry process."""
        name = f'fee-{number}'
        before = self.sender.runs[name]
        outcome = self.send(entry, FEES, name, name, planned_outcomes)
        if outcome is None:
            return
        if outcome.is_ok():
            first = self.answers.setdefault(name, outcome.ok.body)
            assert outcome.ok.body == first
            assert self.sender.runs[name] == 1, outcome
        elif not outcome.error.may_have_run:
            assert self.sender.runs[name] == before, outcome
            assert name not in self.answers, outcome

    @rule(number=strategies.integers(1, 5))
    def reuse_key(self, number: int) -> None:
        """Use a claimed key for a different request."""
        name = f'fee-{number}'
        records = self.machine.table.records
        if any(key_id.key == name for key_id in records):
            outcome = self.send(ENTRIES[0], FEES, name, 'other', [])
            assert outcome is not None
            assert outcome.error.number == 2009, outcome

    @rule(
        number=strategies.integers(1, 5), entry=strategies.sampled_from(ENTRIES)
    )
    def call_on_failing_disk(self, number: int, entry: str) -> None:
        """Send a keyed call while the log cannot sync, then restart."""
        name = f'fee-{number}'
        before = self.sender.runs[name]
        self.storage.fails_sync = True
        outcome = self.send(entry, FEES, name, name, [])
        assert outcome is not None
        if outcome.is_error() and not outcome.error.may_have_run:
            assert self.sender.runs[name] == before, outcome
        assert outcome.is_ok() == (name in self.answers), outcome
        self.storage.fails_sync = False
        self.crash()

    @rule()
    def crash(self) -> None:
        """Crash the processes; unsynced writes are lost."""
        self.storage.crash()
        self.start()

    @rule(seconds=strategies.sampled_from((0.1, 1, 10)))
    def wait(self, seconds: float) -> None:
        """Let time pass, possibly until every lease expires."""
        self.now += seconds
        self.directory.expire(self.now)
        self.announce()

    @invariant()
    def fees_run_at_most_once(self) -> None:
        """Check that every keyed call ran at most once."""
        if hasattr(self, 'sender'):
            for name, runs in self.sender.runs.items():
                assert runs <= 1 or not name.startswith('fee-'), name

    def send(
        self,
        entry: str,
        service: ServiceName,
        key: str,
        name: str,
        planned_outcomes: list[PlannedOutcome],
    ) -> CallResult | None:
        """Send a call; return None if the process crashed meanwhile."""
        self.sender.planned_outcomes = list(planned_outcomes)
        request = UpstreamRequest('POST', f'/{service}', (), name.encode())
        call = CallRequest(CUSTOMER, service, key, request)
        try:
            return self.runner.run(self.run_call(entry, call))
        except CrashError:
            self.crash()
            return None

    async def run_call(self, entry: str, call: CallRequest) -> CallResult:
        """Run a call through an entry process."""
        async with self.entries[entry].run(call, _never) as outcome:
            return outcome

    def teardown(self) -> None:
        """Close the event loop."""
        if hasattr(self, 'runner'):
            self.runner.close()


async def _never() -> None:
    await wait_for(Event().wait(), None)


def _make_limits(service: ServiceName, *, idempotent: bool) -> ServiceLimits:
    return ServiceLimits(
        customer=CUSTOMER,
        service=service,
        urgency=Urgency.urgent,
        idempotent=idempotent,
        weight=1,
        max_concurrency=10,
        rate=100,
        bucket_depth=100,
        max_queued=10,
        start_within=1,
        retry_rate=10,
    )
