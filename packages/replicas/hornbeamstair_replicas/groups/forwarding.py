"""Pending proposals, local and forwarded to the leader."""

from asyncio import Future
from collections.abc import Callable, Iterable

from attrs import define, field, frozen
from expression import Error, Result

from hornbeamstair_core.failures import Failure, PayloadTooLargeFailure
from hornbeamstair_replicas.call_numbers import CallNumbers
from hornbeamstair_replicas.failures import NotLeaderFailure
from hornbeamstair_replicas.limits import MAX_PAYLOAD_BYTES

__all__ = (
    'ProposalOutcome',
    'ForwardedProposals',
    'Payload',
    'Proposal',
    'PendingEntry',
    'encode_proposals',
    'refuse_stale',
    'set_outcome',
)

ProposalOutcome = Result[object, Failure]
# A callable creates the payload when its batch is written, so that records
# can be added until then.
Payload = bytes | Callable[[], bytes]


@frozen
class Proposal:
    """Payload that waits for the next batch, and the future of its outcome."""

    payload: Payload
    future: 'Future[ProposalOutcome]'
    # Term as leader in which the payload was decided; None for any term.
    term: int | None = None

    def encode(self) -> bytes:
        """Encode the payload as of now."""
        return self.payload() if callable(self.payload) else self.payload


@frozen
class PendingEntry:
    """Uncommitted entry of this process: its term and its future."""

    term: int
    future: 'Future[ProposalOutcome]'


@define(eq=False)
class ForwardedProposals:
    """Forwarded proposals that wait for their log position, by number."""

    waiting: dict[int, 'Future[ProposalOutcome]'] = field(factory=dict)
    numbers: CallNumbers = field(factory=CallNumbers)

    def add(self, future: 'Future[ProposalOutcome]') -> int:
        """Add a proposal and return its number; drop those that are done."""
        self.waiting = {
            number: other
            for number, other in self.waiting.items()
            if not other.done()
        }
        number = self.numbers.take()
        self.waiting[number] = future
        return number

    def pop(self, number: int) -> 'Future[ProposalOutcome] | None':
        """Remove and return a proposal; None if its number is unknown."""
        return self.waiting.pop(number, None)


def set_outcome(
    future: 'Future[ProposalOutcome]', outcome: ProposalOutcome
) -> None:
    """Set the outcome of a proposal that is still waited for."""
    if not future.done():
        future.set_result(outcome)


def refuse_stale(
    proposals: Iterable[Proposal],
    leading_term: int | None,
) -> list[Proposal]:
    """Refuse proposals decided in a previous term and return the others."""
    current: list[Proposal] = []
    for proposal in proposals:
        if proposal.term in {None, leading_term}:
            current.append(proposal)
        else:
            set_outcome(proposal.future, Error(NotLeaderFailure('')))
    return current


def encode_proposals(
    proposals: Iterable[Proposal],
) -> list[tuple[Proposal, bytes]]:
    """Encode proposals and refuse those that no message can replicate.

    An error of one payload goes to its proposer; the others are written.
    """
    encoded: list[tuple[Proposal, bytes]] = []
    for proposal in proposals:
        try:
            payload = proposal.encode()
        except Exception as error:
            if not proposal.future.done():
                proposal.future.set_exception(error)
            continue
        if len(payload) <= MAX_PAYLOAD_BYTES:
            encoded.append((proposal, payload))
        else:
            failure = PayloadTooLargeFailure(MAX_PAYLOAD_BYTES)
            set_outcome(proposal.future, Error(failure))
    return encoded
