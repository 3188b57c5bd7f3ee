"""Fencing tokens of the orders to workers."""

from typing import Final

from attrs import define

__all__ = ('FencingTokens', 'get_token_term')

# More than the workers of a large site restart in a long term. JSON numbers
# keep the tokens of half a billion terms exact.
_TOKENS_PER_TERM: Final = 2**24


@define(eq=False)
class FencingTokens:
    """Tokens of one leader, one for each incarnation of a worker.

    A worker that is back under its id has seen no token and takes orders that
    were meant for its former incarnation. Once it has seen a token that was
    issued after its return, it rejects them.
    """

    term: int
    issued: int = 0

    def issue(self) -> int:
        """Issue a token that is higher than all before."""
        # The tokens of the next term stay higher in any case.
        number = min(self.issued, _TOKENS_PER_TERM - 1)
        self.issued += 1
        return self.term * _TOKENS_PER_TERM + number


def get_token_term(token: int) -> int:
    """Get the term of the leader that issued a token."""
    return token // _TOKENS_PER_TERM
