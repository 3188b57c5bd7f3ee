"""Claims and outcomes of keyed calls, kept in a replicated log."""

from collections.abc import Callable
from hashlib import sha256
from typing import cast

from attrs import field, frozen
from expression import Error, Ok, Result

from hornbeamstair_callers.events import KeyOutcomeLostEvent
from hornbeamstair_callers.failures import (
    AnswerNotKeptFailure,
    KeyInProgressFailure,
    KeyNotClaimedFailure,
    KeyOutcomeUnknownFailure,
    KeyReusedFailure,
)
from hornbeamstair_callers.key_codec import KeyStateMachine, write_key_command
from hornbeamstair_callers.keys import (
    ClaimKey,
    KeyCommand,
    KeyId,
    KeyPhase,
    KeyRecord,
    RecordedAnswer,
    RecordOutcome,
    ReleaseKey,
)
from hornbeamstair_callers.messages import CallRequest
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.groups.base import ReplicaGroup
from hornbeamstair_upstreams.messages import UpstreamAnswer

__all__ = ('KeyKeeper',)

CallResult = Result[UpstreamAnswer, Failure]


@frozen
class KeyKeeper:
    """Keeper of request keys for one process."""

    group: ReplicaGroup
    state_machine: KeyStateMachine
    owner: str
    get_wall_time: Callable[[], float]
    unsent: set[KeyId] = field(factory=set)

    async def find(self, call: CallRequest) -> CallResult | None:
        """Find what a resend of a keyed call is answered.

        A claim of another process may have an outcome that this process has
        not heard of yet: the log tells.
        """
        known = self.state_machine.table.records.get(_get_key_id(call))
        if known is None:
            return None
        if known.phase == KeyPhase.claimed and known.owner != self.owner:
            return await self._find_newest(call)
        return self._replay(call, known)

    async def claim(self, call: CallRequest) -> CallResult | None:
        """Claim the key of a call; return an answer if it is taken.

        A claim that was not confirmed may still be committed: the call is
        refused as not run, and a resend through this process takes it over.
        """
        committed = await self._propose_claim(call)
        if committed.is_error():
            return Error(KeyNotClaimedFailure(committed.error.name))
        known = committed.ok
        answer = None if known is None else self._replay(call, known)
        if answer is None:
            self.unsent.discard(_get_key_id(call))
        return answer

    async def record(self, call: CallRequest, outcome: CallResult) -> None:
        """Record the outcome of a claimed call, or free its key.

        Without the record a resend is told that the outcome is not known.
        """
        command = self._get_outcome_command(call, outcome)
        recorded = await self._propose(command)
        if recorded.is_error():
            log_event(
                KeyOutcomeLostEvent(
                    call.idempotency_key,
                    command.kind,
                    recorded.error.name,
                ),
            )

    async def _find_newest(self, call: CallRequest) -> CallResult | None:
        """Ask the log; a claim changes nothing of a key that is taken."""
        committed = await self._propose_claim(call)
        if committed.is_error():
            return Error(KeyOutcomeUnknownFailure())
        if committed.ok is not None:
            return self._replay(call, committed.ok)
        # It was free again; the call claims it once it has a slot.
        key_id = _get_key_id(call)
        self.unsent.add(key_id)
        await self._propose(ReleaseKey(key_id, self.owner))
        return None

    async def _propose_claim(
        self,
        call: CallRequest,
    ) -> Result[KeyRecord | None, Failure]:
        """Propose a claim; one without an answer may still be committed."""
        key_id = _get_key_id(call)
        claim = ClaimKey(
            key_id,
            _get_digest(call),
            self.owner,
            self.get_wall_time(),
        )
        committed = await self._propose(claim)
        if committed.is_error():
            self.unsent.add(key_id)
        return committed

    def _get_outcome_command(
        self,
        call: CallRequest,
        outcome: CallResult,
    ) -> KeyCommand:
        key_id = _get_key_id(call)
        if outcome.is_ok():
            return _record_answer(key_id, outcome.ok)
        if outcome.error.may_have_run:
            return RecordOutcome(key_id, KeyPhase.unknown, None)
        return ReleaseKey(key_id, self.owner)

    async def _propose(
        self,
        command: KeyCommand,
    ) -> Result[KeyRecord | None, Failure]:
        committed = await self.group.propose(write_key_command(command))
        return committed.map(lambda known: cast('KeyRecord | None', known))

    def _replay(
        self,
        call: CallRequest,
        known: KeyRecord,
    ) -> CallResult | None:
        if known.digest != _get_digest(call):
            return Error(KeyReusedFailure())
        if known.phase == KeyPhase.claimed and known.owner == self.owner:
            is_unsent = _get_key_id(call) in self.unsent
            return None if is_unsent else Error(KeyInProgressFailure())
        if known.phase == KeyPhase.answer_not_kept:
            return Error(AnswerNotKeptFailure())
        if known.answer is None:
            return Error(KeyOutcomeUnknownFailure())
        kept = known.answer
        return Ok(UpstreamAnswer(kept.status, kept.headers, kept.body))


def _record_answer(key_id: KeyId, answer: UpstreamAnswer) -> KeyCommand:
    if answer.stream is not None:
        return RecordOutcome(key_id, KeyPhase.answer_not_kept, None)
    kept = RecordedAnswer(answer.status, answer.headers, answer.body)
    return RecordOutcome(key_id, KeyPhase.answered, kept)


def _get_key_id(call: CallRequest) -> KeyId:
    return KeyId(call.customer, call.idempotency_key)


def _get_digest(call: CallRequest) -> bytes:
    request = call.request
    digest = sha256()
    for part in (call.service, request.method, request.target):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(request.body)
    return digest.digest()
