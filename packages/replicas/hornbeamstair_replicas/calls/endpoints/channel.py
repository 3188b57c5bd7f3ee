"""Channel for calls from any process to the leader of a group."""

from abc import ABC, abstractmethod
from asyncio import Future, Task, create_task, get_running_loop, sleep, timeout
from collections.abc import Callable
from typing import Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.call_numbers import CallNumbers
from hornbeamstair_replicas.calls.attempts import AttemptResult, CallAttempts
from hornbeamstair_replicas.calls.messages import LeaderAnswer, LeaderCall
from hornbeamstair_replicas.calls.targets import LeaderTargets
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
)
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.transport.base import PeerTransport

__all__ = ('LeaderChannel', 'LeaderService')

_CHANNEL: Final = 'calls'
# Covers a commit (a few syncs and round trips); a call to an unresponsive
# leader waits this long.
_ATTEMPT_TIMEOUT_SECONDS: Final = 0.7
_RETRY_INTERVAL_SECONDS: Final = 0.06
# After a longer time without contact, the leader is probed before the call
# is sent: a call that was not sent is known not to have run.
_PROBE_AFTER_SECONDS: Final = 0.9
# An election takes about one second; after that, another process is more
# likely to know the leader.
_UNREACHABLE_AFTER_SECONDS: Final = 1.2

# In place of the answer to a call that was never written.
_WITHDRAWN: Final = LeaderAnswer(
    0, b'', is_leader=False, leader=VoterId(''), voters=()
)


class LeaderService(ABC):
    """Handler of the calls that this process receives as leader."""

    @abstractmethod
    def leads(self) -> bool:
        """Return whether this process may answer as leader now."""

    @abstractmethod
    def get_leader(self) -> VoterId:
        """Get the known leader, or an empty identifier."""

    @abstractmethod
    def get_voters(self) -> tuple[VoterId, ...]:
        """Get the voters of the group."""

    @abstractmethod
    async def answer(self, payload: bytes) -> bytes:
        """Answer a call, which may arrive more than once."""


@define(eq=False)
class LeaderChannel:
    """Sends calls to the leader and retries them until a deadline.

    Every call must be idempotent: an attempt without an answer may have
    been carried out.
    """

    transport: PeerTransport
    targets: LeaderTargets
    metrics: Metrics
    get_time: Callable[[], float]
    service: LeaderService | None = None
    # Time of the last answer of a leader.
    last_contact_at: float = field(default=-1000, init=False)
    waiting: dict[int, 'Future[LeaderAnswer]'] = field(
        factory=dict,
        init=False,
    )
    serving: 'set[Task[None]]' = field(factory=set, init=False)
    numbers: CallNumbers = field(factory=CallNumbers, init=False)

    def start(self) -> None:
        """Start receiving calls and answers."""
        self.transport.add_receiver(_CHANNEL, self._handle_message)

    async def ask(
        self,
        payload: bytes,
        seconds: float,
        call_attempts: CallAttempts | None = None,
    ) -> Result[bytes, Failure]:
        """Call the leader; NotLeaderFailure means that the call has not run.

        A call fails before its deadline if no leader can be reached, so that
        the caller has time to try elsewhere.
        """
        started_at = self.get_time()
        call_attempts = call_attempts or CallAttempts(started_at)
        deadline = started_at + seconds
        while True:
            answer = await self._attempt(payload, deadline, call_attempts)
            if answer is not None and answer.is_leader:
                return Ok(answer.payload)
            call_attempts.may_have_run |= answer is None
            if self._is_over(started_at, deadline):
                break
            self.metrics.count_retry('leader_call')
            await sleep(_RETRY_INTERVAL_SECONDS)
        if call_attempts.may_have_run:
            return Error(NotCommittedFailure('the leader did not answer'))
        return Error(NotLeaderFailure(self.targets.leader))

    def is_leader_unreachable(self, started_at: float, now: float) -> bool:
        """Return whether no leader has answered for too long during a call."""
        return (
            now
            > max(started_at, self.last_contact_at) + _UNREACHABLE_AFTER_SECONDS
        )

    def _is_over(self, started_at: float, deadline: float) -> bool:
        now = self.get_time()
        is_expired = now + _RETRY_INTERVAL_SECONDS >= deadline
        return is_expired or self.is_leader_unreachable(started_at, now)

    async def _attempt(
        self,
        payload: bytes,
        deadline: float,
        call_attempts: CallAttempts,
    ) -> LeaderAnswer | None:
        if self.service is not None and self.service.leads():
            own = self._make_answer(0, await self.service.answer(payload))
            call_attempts.add(AttemptResult.own, own.leader, self.get_time())
            return own
        target = self._choose_target()
        if not target:
            call_attempts.add(AttemptResult.no_leader, target, self.get_time())
            return self._make_refusal(0)
        contact_age = self.get_time() - self.last_contact_at
        if payload and contact_age > _PROBE_AFTER_SECONDS:
            probe_answer = await self._exchange(target, b'', deadline)
            if probe_answer is None or not probe_answer.is_leader:
                self._add_attempt(
                    call_attempts,
                    target,
                    probe_answer,
                    AttemptResult.unreached,
                )
                return self._make_refusal(0)
        answer = await self._exchange(target, payload, deadline)
        self._add_attempt(
            call_attempts,
            target,
            answer,
            AttemptResult.unanswered,
        )
        return answer

    def _add_attempt(
        self,
        call_attempts: CallAttempts,
        target: VoterId,
        answer: LeaderAnswer | None,
        default: AttemptResult,
    ) -> None:
        attempt = default
        if answer is _WITHDRAWN:
            attempt = AttemptResult.unwritten
        elif answer is not None:
            leads = answer.is_leader
            attempt = (
                AttemptResult.answered if leads else AttemptResult.not_leading
            )
        elif not self.transport.is_connected(target):
            attempt = AttemptResult.unconnected
        call_attempts.add(attempt, target, self.get_time())

    async def _exchange(
        self,
        target: VoterId,
        payload: bytes,
        deadline: float,
    ) -> LeaderAnswer | None:
        number = self.numbers.take()
        answer: Future[LeaderAnswer] = get_running_loop().create_future()
        self.waiting[number] = answer
        posting = self.transport.post(
            Envelope(
                _CHANNEL,
                self.transport.own,
                target,
                LeaderCall(number, payload),
            ),
        )
        seconds = min(_ATTEMPT_TIMEOUT_SECONDS, deadline - self.get_time())
        try:
            async with timeout(seconds):
                return await answer
        except TimeoutError:
            self.targets.forget_leader(target)
            return _WITHDRAWN if posting.withdraw() else None
        finally:
            self.waiting.pop(number)

    def _choose_target(self) -> VoterId:
        if self.service is not None and self.service.get_leader():
            leader = self.service.get_leader()
            # A leader whose lease has expired must not call itself.
            return VoterId('') if leader == self.transport.own else leader
        return self.targets.choose()

    def _handle_message(self, sender: VoterId, message: PeerMessage) -> None:
        match message:
            case LeaderCall(number, b''):
                self._answer_probe(sender, number)
            case LeaderCall():
                task = create_task(self._serve(sender, message))
                self.serving.add(task)
                task.add_done_callback(self.serving.discard)
            case LeaderAnswer():
                self._handle_answer(message)

    def _handle_answer(self, message: LeaderAnswer) -> None:
        leader = message.leader
        self.targets.update_leader(leader, message.voters)
        if message.is_leader:
            self.last_contact_at = self.get_time()
        answer = self.waiting.get(message.number)
        if answer is not None and not answer.done():
            answer.set_result(message)

    def _answer_probe(self, sender: VoterId, number: int) -> None:
        if self.service is None:
            return
        if self.service.leads():
            self._answer(sender, self._make_answer(number, b''))
        else:
            self._answer(sender, self._make_refusal(number))

    async def _serve(self, sender: VoterId, call: LeaderCall) -> None:
        if self.service is None:
            return
        if not self.service.leads():
            self._answer(sender, self._make_refusal(call.number))
            return
        payload = await self.service.answer(call.payload)
        self._answer(sender, self._make_answer(call.number, payload))

    def _make_answer(self, number: int, payload: bytes) -> LeaderAnswer:
        voters = self.service.get_voters() if self.service else ()
        return LeaderAnswer(
            number,
            payload,
            is_leader=True,
            leader=self.transport.own,
            voters=voters,
        )

    def _make_refusal(self, number: int) -> LeaderAnswer:
        service = self.service
        leader = VoterId('') if service is None else service.get_leader()
        return LeaderAnswer(
            number,
            b'',
            is_leader=False,
            leader=VoterId('') if leader == self.transport.own else leader,
            voters=() if service is None else service.get_voters(),
        )

    def _answer(self, receiver: VoterId, answer: LeaderAnswer) -> None:
        own = self.transport.own
        self.transport.answer(Envelope(_CHANNEL, own, receiver, answer))
