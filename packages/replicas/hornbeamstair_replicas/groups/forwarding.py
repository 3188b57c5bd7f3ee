"""Proposals on their way into the log, and who waits for them."""

from asyncio import Future

from attrs import define, field, frozen
from expression import Result

from hornbeamstair_core.failures import Failure

__all__ = (
    'Answer',
    'ForwardedProposals',
    'Proposal',
    'WaitingProposer',
    'set_answer',
)

Answer = Result[object, Failure]


@frozen
class Proposal:
    """Payload that waits to be proposed or forwarded."""

    payload: bytes
    answer: 'Future[Answer]'


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
