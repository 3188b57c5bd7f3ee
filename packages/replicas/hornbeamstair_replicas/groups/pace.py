"""Batches of proposals, and the pace at which a leader writes them."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_replicas.groups.forwarding import Proposal

__all__ = ('BatchPace', 'ProposalBatch')

# The loop does nothing else during a sync: it gets three times as long after.
_PAUSE_FACTOR: Final = 3
# A slower disk must not hold a commit up for longer than this, in seconds.
_MAX_PAUSE_SECONDS: Final = 0.03


@define(eq=False)
class BatchPace:
    """Pauses between batches; a batch after an idle time waits for nothing."""

    next_at: float = 0

    def note_sync(self, began: float, ended: float) -> None:
        """Note when a sync began and ended."""
        pause = (ended - began) * _PAUSE_FACTOR
        self.next_at = ended + min(pause, _MAX_PAUSE_SECONDS)

    def get_delay(self, now: float) -> float:
        """Get the seconds until the next batch may be written."""
        return max(self.next_at - now, 0)


@define(eq=False)
class ProposalBatch:
    """Proposals that wait for the next batch."""

    get_delay: Callable[[], float]
    propose: Callable[[list[Proposal]], None]
    proposals: list[Proposal] = field(factory=list, init=False)
    timer: TimerHandle | None = field(default=None, init=False)

    def add(self, proposal: Proposal) -> None:
        """Have a proposal written with the next batch."""
        self.proposals.append(proposal)
        if self.timer is None:
            self._set_timer()

    def take(self) -> list[Proposal]:
        """Take what waits out."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        proposals = self.proposals
        self.proposals = []
        return proposals

    def flush(self) -> None:
        """Propose what waits, without any delay."""
        proposals = self.take()
        if proposals:
            self.propose(proposals)

    def _set_timer(self) -> None:
        loop = get_running_loop()
        self.timer = loop.call_later(self.get_delay(), self._flush_if_due)

    def _flush_if_due(self) -> None:
        # A sync may have come between.
        if self.get_delay():
            self._set_timer()
        else:
            self.flush()
