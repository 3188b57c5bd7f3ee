"""Processes that share idempotency keys, each with its own log position."""

from asyncio import run
from math import inf

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_callers.key_codec import KeyStateMachine
from hornbeamstair_callers.key_store import KeyStore
from hornbeamstair_callers.messages import CallRequest
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId, ServiceName
from hornbeamstair_replicas.failures import NotCommittedFailure
from hornbeamstair_upstreams.messages import UpstreamAnswer, UpstreamRequest

CALL = CallRequest(
    CustomerId('grinders'),
    ServiceName('fees'),
    'fee-1',
    UpstreamRequest('POST', '/fees/post', (), b'5'),
)
ANSWER = UpstreamAnswer(200, (), b'settled')
NOW = 1000.0


@define(eq=False)
class KeyLog:
    """Log whose commands the first process applies at once."""

    machine: KeyStateMachine = field(factory=KeyStateMachine)
    payloads: list[bytes] = field(factory=list)
    is_blocked: bool = False
    # Number of commands after which the answers are lost.
    answered: float = inf

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit a command, unless the log is blocked."""
        if self.is_blocked:
            return Error(NotCommittedFailure('no quorum in time'))
        self.payloads.append(payload)
        answer = self.machine.apply(len(self.payloads), payload)
        if len(self.payloads) > self.answered:
            return Error(NotCommittedFailure('no answer from the leader'))
        return Ok(answer)


@define(eq=False)
class KeyProcesses:
    """Idempotency keys of several processes over one log."""

    log: KeyLog = field(factory=KeyLog)
    processes: dict[str, KeyStore] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add a process that applies all commands at once."""
        self.add('entry-1', self.log.machine)

    def add(self, name: str, machine: KeyStateMachine) -> None:
        """Add a process with the applied state of its machine."""
        self.processes[name] = KeyStore(
            self.log,
            machine,
            name,
            lambda: NOW,
        )

    def add_lagging(self, name: str) -> None:
        """Add a process that has applied the first command only."""
        machine = KeyStateMachine()
        machine.apply(1, self.log.payloads[0])
        self.add(name, machine)

    def find(self, name: str) -> Result[UpstreamAnswer, Failure] | None:
        """Find the answer of a process to the call."""
        return run(self.processes[name].find(CALL))

    def claim(self, name: str) -> Result[UpstreamAnswer, Failure] | None:
        """Claim the key of the call."""
        return run(self.processes[name].claim(CALL))

    def record(
        self,
        name: str,
        outcome: Result[UpstreamAnswer, Failure],
    ) -> None:
        """Record the outcome of the call."""
        run(self.processes[name].record(CALL, outcome))
