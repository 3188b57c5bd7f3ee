"""Claims and outcomes of calls with idempotency keys."""

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
from hornbeamstair_callers.key_codec import KeyStateMachine, encode_key_command
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

__all__ = ('KeyStore',)

CallResult = Result[UpstreamAnswer, Failure]


@frozen
class KeyStore:
    """Access of one process to the replicated idempotency keys."""

    group: ReplicaGroup
    state_machine: KeyStateMachine
    owner: str
    get_wall_time: Callable[[], float]
    # Keys that this process claimed, or may have, without sending the call.
    unsent_keys: set[KeyId] = field(factory=set)
    # Keys of the calls that are being claimed or have been sent.
    active_keys: set[KeyId] = field(factory=set)

    async def find(self, call: CallRequest) -> CallResult | None:
        """Find the answer to a resend of a call; None if it may run.

        A claim of another process may already have an outcome that this
        process has not applied yet, so its record is read through the log.
        """
        known = self.state_machine.table.records.get(_get_key_id(call))
        if known is None:
            return None
        if known.phase == KeyPhase.claimed and known.owner != self.owner:
            return await self._find_in_log(call)
        return self._replay(call, known)

    async def claim(self, call: CallRequest) -> CallResult | None:
        """Claim the key of a call; return an answer if it is not free.

        An unconfirmed claim may still be committed. The call is refused as not
        run, and a resend through this process takes over the claim.
        """
        key_id = _get_key_id(call)
        if key_id in self.active_keys:
            return Error(KeyInProgressFailure())
        self.active_keys.add(key_id)
        try:
            answer = await self._claim(call)
        finally:
            self.active_keys.discard(key_id)
        if answer is None:
            self.active_keys.add(key_id)
            self.unsent_keys.discard(key_id)
        return answer

    async def record(self, call: CallRequest, outcome: CallResult) -> None:
        """Record the outcome of a call, or release its key if it did not run.

        If this fails, the key stays claimed: resends get
        `KeyInProgressFailure` from this process and
        `KeyOutcomeUnknownFailure` from the others.
        """
        command = self._get_outcome_command(call, outcome)
        try:
            recorded = await self._propose(command)
        finally:
            self.active_keys.discard(_get_key_id(call))
        if recorded.is_error():
            log_event(
                KeyOutcomeLostEvent(
                    call.idempotency_key,
                    command.kind,
                    recorded.error.name,
                ),
            )

    async def _claim(self, call: CallRequest) -> CallResult | None:
        committed = await self._propose_claim(call)
        if committed.is_error():
            return Error(KeyNotClaimedFailure(committed.error.name))
        known = committed.ok
        return None if known is None else self._replay(call, known)

    async def _find_in_log(self, call: CallRequest) -> CallResult | None:
        """Read the newest record, unless a call with the key is active."""
        key_id = _get_key_id(call)
        if key_id in self.active_keys:
            return Error(KeyInProgressFailure())
        self.active_keys.add(key_id)
        try:
            return await self._read_record(call, key_id)
        finally:
            self.active_keys.discard(key_id)

    async def _read_record(
        self,
        call: CallRequest,
        key_id: KeyId,
    ) -> CallResult | None:
        """Read the newest record; claiming a taken key does not change it."""
        committed = await self._propose_claim(call)
        if committed.is_error():
            return Error(KeyOutcomeUnknownFailure())
        if committed.ok is not None:
            return self._replay(call, committed.ok)
        # The key was free again; the call claims it when it has a slot.
        self.unsent_keys.add(key_id)
        released = await self._propose(ReleaseKey(key_id, self.owner))
        if released.is_error():
            # A late release would free the key while the call runs.
            return Error(KeyNotClaimedFailure(released.error.name))
        return None

    async def _propose_claim(
        self,
        call: CallRequest,
    ) -> Result[KeyRecord | None, Failure]:
        """Propose a claim; an unconfirmed one may still be committed."""
        key_id = _get_key_id(call)
        claim = ClaimKey(
            key_id,
            _get_digest(call),
            self.owner,
            self.get_wall_time(),
        )
        committed = await self._propose(claim)
        if committed.is_error():
            self.unsent_keys.add(key_id)
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
        committed = await self.group.propose(encode_key_command(command))
        return committed.map(lambda known: cast('KeyRecord | None', known))

    def _replay(
        self,
        call: CallRequest,
        known: KeyRecord,
    ) -> CallResult | None:
        if known.digest != _get_digest(call):
            return Error(KeyReusedFailure())
        if known.phase == KeyPhase.claimed and known.owner == self.owner:
            is_unsent = _get_key_id(call) in self.unsent_keys
            return None if is_unsent else Error(KeyInProgressFailure())
        if known.phase == KeyPhase.answer_not_kept:
            return Error(AnswerNotKeptFailure())
        if known.answer is None:
            return Error(KeyOutcomeUnknownFailure())
        recorded = known.answer
        return Ok(
            UpstreamAnswer(recorded.status, recorded.headers, recorded.body)
        )


def _record_answer(key_id: KeyId, answer: UpstreamAnswer) -> KeyCommand:
    if answer.stream is not None:
        return RecordOutcome(key_id, KeyPhase.answer_not_kept, None)
    recorded = RecordedAnswer(answer.status, answer.headers, answer.body)
    return RecordOutcome(key_id, KeyPhase.answered, recorded)


def _get_key_id(call: CallRequest) -> KeyId:
    return KeyId(call.customer, call.idempotency_key)


def _get_digest(call: CallRequest) -> bytes:
    request = call.request
    digest = sha256()
    for part in (call.service, request.method, request.target):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(request.body)
    return digest.digest()
