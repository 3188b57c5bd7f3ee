"""Channel by which any process calls the leader of a group."""

from abc import ABC, abstractmethod
from asyncio import Future, Task, create_task, get_running_loop, sleep, timeout
from collections.abc import Callable
from typing import Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.calls.messages import LeaderAnswer, LeaderCall
from hornbeamstair_replicas.calls.targets import LeaderTargets
from hornbeamstair_replicas.calls.trail import CallStep, CallTrail
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
)
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.transport.base import PeerTransport

__all__ = ('LeaderChannel', 'LeaderService')

_CHANNEL: Final = 'calls'
# A commit takes some syncs and round trips; a silent leader costs this long.
_ATTEMPT_SECONDS: Final = 0.7
_PAUSE_SECONDS: Final = 0.06
# A leader that was silent for longer is asked first whether it is there:
# what was not sent to it is known not to have run.
_CONTACT_SECONDS: Final = 0.9
# An election takes about a second; then another process may know more.
_PATIENCE_SECONDS: Final = 1.2


class LeaderService(ABC):
    """What the leader of a group does for the other processes."""

    @abstractmethod
    def leads(self) -> bool:
        """Tell whether this process may answer as the leader now."""

    @abstractmethod
    def get_leader(self) -> VoterId:
        """Get the leader as far as known."""

    @abstractmethod
    def get_voters(self) -> tuple[VoterId, ...]:
        """Get the voters of the group."""

    @abstractmethod
    async def answer(self, payload: bytes) -> bytes:
        """Answer a call; a call may arrive more than once."""


@define(eq=False)
class LeaderChannel:
    """Calls to the leader, sent again until it answers or time is up.

    Every call must be idempotent: an attempt without an answer may have
    been carried out.
    """

    transport: PeerTransport
    targets: LeaderTargets
    metrics: Metrics
    get_time: Callable[[], float]
    service: LeaderService | None = None
    heard_at: float = field(default=-1000, init=False)
    waiting: dict[int, 'Future[LeaderAnswer]'] = field(
        factory=dict,
        init=False,
    )
    serving: 'set[Task[None]]' = field(factory=set, init=False)
    last_number: int = field(default=0, init=False)

    def start(self) -> None:
        """Take calls and answers from now on."""
        self.transport.add_receiver(_CHANNEL, self._receive)

    async def ask(
        self,
        payload: bytes,
        seconds: float,
        trail: CallTrail | None = None,
    ) -> Result[bytes, Failure]:
        """Ask the leader; NotLeaderFailure proves that nothing was done.

        A call is given up early while no leader can be reached, so that its
        caller can still try elsewhere.
        """
        began = self.get_time()
        trail = trail or CallTrail(began)
        end = began + seconds
        has_reached = False
        while True:
            answer = await self._attempt(payload, end, trail)
            if answer is not None and answer.is_leader:
                return Ok(answer.payload)
            has_reached = has_reached or answer is None
            if self._is_over(began, end):
                break
            self.metrics.count_retry('leader_call')
            await sleep(_PAUSE_SECONDS)
        if has_reached:
            return Error(NotCommittedFailure('the leader did not answer'))
        return Error(NotLeaderFailure(self.targets.leader))

    def is_out_of_reach(self, began: float, now: float) -> bool:
        """Tell whether no leader was heard for long since a call began."""
        return now > max(began, self.heard_at) + _PATIENCE_SECONDS

    def _is_over(self, began: float, end: float) -> bool:
        now = self.get_time()
        is_late = now + _PAUSE_SECONDS >= end
        return is_late or self.is_out_of_reach(began, now)

    async def _attempt(
        self,
        payload: bytes,
        end: float,
        trail: CallTrail,
    ) -> LeaderAnswer | None:
        if self.service is not None and self.service.leads():
            own = self._get_answer(0, await self.service.answer(payload))
            trail.note(CallStep.own, own.leader, self.get_time())
            return own
        target = self._choose()
        if not target:
            trail.note(CallStep.no_leader, target, self.get_time())
            return self._get_refusal(0)
        silence = self.get_time() - self.heard_at
        if payload and silence > _CONTACT_SECONDS:
            probed = await self._exchange(target, b'', end)
            if probed is None or not probed.is_leader:
                self._note(trail, target, probed, CallStep.unreached)
                return self._get_refusal(0)
        answer = await self._exchange(target, payload, end)
        self._note(trail, target, answer, CallStep.unanswered)
        return answer

    def _note(
        self,
        trail: CallTrail,
        target: VoterId,
        answer: LeaderAnswer | None,
        otherwise: CallStep,
    ) -> None:
        step = otherwise
        if answer is not None:
            leads = answer.is_leader
            step = CallStep.answered if leads else CallStep.not_leading
        elif not self.transport.is_connected(target):
            step = CallStep.unconnected
        trail.note(step, target, self.get_time())

    async def _exchange(
        self,
        target: VoterId,
        payload: bytes,
        end: float,
    ) -> LeaderAnswer | None:
        self.last_number += 1
        number = self.last_number
        answer: Future[LeaderAnswer] = get_running_loop().create_future()
        self.waiting[number] = answer
        self._send(target, LeaderCall(number, payload))
        seconds = min(_ATTEMPT_SECONDS, end - self.get_time())
        try:
            async with timeout(seconds):
                return await answer
        except TimeoutError:
            self.targets.doubt(target)
            return None
        finally:
            self.waiting.pop(number)

    def _choose(self) -> VoterId:
        if self.service is not None and self.service.get_leader():
            leader = self.service.get_leader()
            # A leader that lost its lease must not call itself.
            return VoterId('') if leader == self.transport.own else leader
        return self.targets.choose()

    def _receive(self, sender: VoterId, message: PeerMessage) -> None:
        match message:
            case LeaderCall():
                task = create_task(self._serve(sender, message))
                self.serving.add(task)
                task.add_done_callback(self.serving.discard)
            case LeaderAnswer():
                self._take(message)

    def _take(self, message: LeaderAnswer) -> None:
        leader = message.leader
        self.targets.note(leader, message.voters)
        if message.is_leader:
            self.heard_at = self.get_time()
        answer = self.waiting.get(message.number)
        if answer is not None and not answer.done():
            answer.set_result(message)

    async def _serve(self, sender: VoterId, call: LeaderCall) -> None:
        if self.service is None:
            return
        if not self.service.leads():
            self._send(sender, self._get_refusal(call.number))
            return
        payload = await self.service.answer(call.payload)
        self._send(sender, self._get_answer(call.number, payload))

    def _get_answer(self, number: int, payload: bytes) -> LeaderAnswer:
        voters = self.service.get_voters() if self.service else ()
        return LeaderAnswer(
            number,
            payload,
            is_leader=True,
            leader=self.transport.own,
            voters=voters,
        )

    def _get_refusal(self, number: int) -> LeaderAnswer:
        service = self.service
        leader = VoterId('') if service is None else service.get_leader()
        return LeaderAnswer(
            number,
            b'',
            is_leader=False,
            leader=VoterId('') if leader == self.transport.own else leader,
            voters=() if service is None else service.get_voters(),
        )

    def _send(self, receiver: VoterId, message: PeerMessage) -> None:
        own = self.transport.own
        self.transport.send(Envelope(_CHANNEL, own, receiver, message))
