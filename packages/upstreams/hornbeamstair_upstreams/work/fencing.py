"""Fencing tokens of the orders to workers."""

from typing import Final

from attrs import define

__all__ = ('FencingTokens', 'get_token_term')

# JSON numbers keep the tokens of 32 million terms exact.
_TOKENS_PER_TERM: Final = 268_435_456


@define(eq=False)
class FencingTokens:
    """Tokens of one leader, one or more for each incarnation of a worker.

    A worker that is back under its id has seen no token and takes orders that
    were meant for its former incarnation. Once it has seen a token that was
    issued after its return, it rejects them.
    """

    term: int
    # Number of the highest token issued to any worker; -1 for none.
    highest: int = -1

    def issue(self) -> int:
        """Issue a token that is higher than all before."""
        return self._make(self.highest + 1)

    def issue_next(self, token: int) -> int:
        """Issue a token for a worker that is higher than its last one.

        Other workers may have the same one.
        """
        return self._make(token % _TOKENS_PER_TERM + 1)

    def _make(self, number: int) -> int:
        # The tokens of the next term stay higher in any case.
        bounded = min(number, _TOKENS_PER_TERM - 1)
        self.highest = max(self.highest, bounded)
        return self.term * _TOKENS_PER_TERM + bounded


def get_token_term(token: int) -> int:
    """Get the term of the leader that issued a token."""
    return token // _TOKENS_PER_TERM
