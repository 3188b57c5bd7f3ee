"""Proposals on their way into the log, and who waits for them."""

from asyncio import Future
from collections.abc import Callable, Iterable

from attrs import define, field, frozen
from expression import Error, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_replicas.failures import NotLeaderFailure

__all__ = (
    'Answer',
    'ForwardedProposals',
    'Payload',
    'Proposal',
    'WaitingProposer',
    'refuse_former',
    'set_answer',
)

Answer = Result[object, Failure]
# One that is made when its batch is written may grow until then.
Payload = bytes | Callable[[], bytes]


@frozen
class Proposal:
    """Payload that waits to be proposed or forwarded."""

    payload: Payload
    answer: 'Future[Answer]'
    # Term of this process that it was decided in; None if any leader will do.
    term: int | None = None

    def write(self) -> bytes:
        """Get the payload as it is now."""
        return self.payload() if callable(self.payload) else self.payload


@frozen
class WaitingProposer:
    """Proposer that waits for an entry of a term."""

    term: int
    answer: 'Future[Answer]'


@define(eq=False)
class ForwardedProposals:
    """Proposals by number that wait for their place in the log."""

    waiting: dict[int, 'Future[Answer]'] = field(factory=dict)
    last_number: int = 0

    def add(self, answer: 'Future[Answer]') -> int:
        """Keep a proposal and return its number."""
        self.waiting = {
            number: kept
            for number, kept in self.waiting.items()
            if not kept.done()
        }
        self.last_number += 1
        self.waiting[self.last_number] = answer
        return self.last_number

    def pop(self, number: int) -> 'Future[Answer] | None':
        """Take a proposal out; None if it is not waited for."""
        return self.waiting.pop(number, None)


def set_answer(answer: 'Future[Answer]', outcome: Answer) -> None:
    """Answer a proposer that still waits."""
    if not answer.done():
        answer.set_result(outcome)


def refuse_former(
    proposals: Iterable[Proposal],
    led_term: int | None,
) -> list[Proposal]:
    """Refuse the proposals of terms that are over; return the others."""
    standing: list[Proposal] = []
    for proposal in proposals:
        if proposal.term in {None, led_term}:
            standing.append(proposal)
        else:
            set_answer(proposal.answer, Error(NotLeaderFailure('')))
    return standing
