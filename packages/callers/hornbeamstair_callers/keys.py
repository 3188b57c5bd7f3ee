"""Idempotency keys; a key is claimed before its call is sent."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from enum import Enum
from typing import ClassVar, Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import CustomerId
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_core.units import DAY
from hornbeamstair_upstreams.messages import Headers

__all__ = (
    'ClaimKey',
    'KeyCommand',
    'KeyId',
    'KeyPhase',
    'KeyRecord',
    'KeyTable',
    'RecordOutcome',
    'RecordedAnswer',
    'ReleaseKey',
)

_RETENTION_SECONDS: Final = DAY


class KeyPhase(Enum):
    """Phase of a call with an idempotency key."""

    claimed = 'claimed'
    answered = 'answered'
    answer_not_kept = 'answer_not_kept'
    unknown = 'unknown'


@frozen
class KeyId:
    """Idempotency key, unique within its customer."""

    customer: CustomerId
    key: str


@frozen
class RecordedAnswer:
    """Complete answer that resends of a call receive."""

    status: int
    headers: Headers
    body: bytes


@frozen
class KeyRecord:
    """Record of a call with an idempotency key."""

    digest: bytes
    owner: str
    claimed_at: float
    phase: KeyPhase = KeyPhase.claimed
    answer: RecordedAnswer | None = None


@define
class KeyTable:
    """Records of keyed calls in the order of their claims."""

    records: OrderedDict[KeyId, KeyRecord] = field(factory=OrderedDict)

    def expire(self, wall_time: float) -> None:
        """Remove the records whose retention period is over."""
        limit = wall_time - _RETENTION_SECONDS
        while self.records:
            key_id, oldest = next(iter(self.records.items()))
            if oldest.claimed_at > limit:
                return
            self.records.pop(key_id)


@frozen
class KeyCommand(ABC):
    """Command that changes the record of one key."""

    kind: ClassVar[str]

    @abstractmethod
    def apply(self, table: KeyTable) -> KeyRecord | None:
        """Change the table; return the previous record of the key."""


@frozen
class ClaimKey(KeyCommand):
    """Claim a key before its call is sent."""

    kind: ClassVar[str] = 'claim'

    key_id: KeyId
    digest: bytes
    owner: str
    wall_time: float

    def apply(self, table: KeyTable) -> KeyRecord | None:
        """Claim a free key; a claimed one is not changed."""
        table.expire(self.wall_time)
        known = table.records.get(self.key_id)
        if known is None:
            table.records[self.key_id] = KeyRecord(
                self.digest,
                self.owner,
                self.wall_time,
            )
        return known


@frozen
class RecordOutcome(KeyCommand):
    """Record the outcome of the call that claimed a key."""

    kind: ClassVar[str] = 'record'

    key_id: KeyId
    phase: KeyPhase
    answer: RecordedAnswer | None

    def apply(self, table: KeyTable) -> KeyRecord | None:
        """Replace the claim by the outcome."""
        known = table.records.get(self.key_id)
        if known is None:
            return None
        check_invariant(
            known.phase != KeyPhase.answered,
            'a recorded answer never changes',
            self.key_id.key,
        )
        table.records[self.key_id] = KeyRecord(
            known.digest,
            known.owner,
            known.claimed_at,
            self.phase,
            self.answer,
        )
        return known


@frozen
class ReleaseKey(KeyCommand):
    """Release the claim of a call that was not run."""

    kind: ClassVar[str] = 'release'

    key_id: KeyId
    owner: str

    def apply(self, table: KeyTable) -> KeyRecord | None:
        """Remove the claim if it belongs to the owner."""
        known = table.records.get(self.key_id)
        if known is None or known.owner != self.owner:
            return known
        if known.phase == KeyPhase.claimed:
            table.records.pop(self.key_id)
        return known
