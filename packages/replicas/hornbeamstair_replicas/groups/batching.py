"""Batches of proposals and the rate at which they are written."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_replicas.groups.forwarding import Proposal

__all__ = ('BatchThrottle', 'ProposalBatch')

# A sync blocks the event loop; other work then gets three times as long.
_PAUSE_FACTOR: Final = 3
# Bounds the delay of a commit on a slow disk.
_MAX_PAUSE_SECONDS: Final = 0.03


@define(eq=False)
class BatchThrottle:
    """Minimum pause between batches, in proportion to the time of a sync.

    A batch after an idle period is not delayed.
    """

    next_batch_at: float = 0

    def add_sync(self, started_at: float, ended_at: float) -> None:
        """Set the next pause from the start and the end of a sync."""
        pause = (ended_at - started_at) * _PAUSE_FACTOR
        self.next_batch_at = ended_at + min(pause, _MAX_PAUSE_SECONDS)

    def get_delay(self, now: float) -> float:
        """Get the seconds until the next batch may be written."""
        return max(self.next_batch_at - now, 0)


@define(eq=False)
class ProposalBatch:
    """Collects proposals and writes them as one batch."""

    get_delay: Callable[[], float]
    propose: Callable[[list[Proposal]], None]
    proposals: list[Proposal] = field(factory=list, init=False)
    timer: TimerHandle | None = field(default=None, init=False)

    def add(self, proposal: Proposal) -> None:
        """Add a proposal to the next batch."""
        self.proposals.append(proposal)
        if self.timer is None:
            self._set_timer()

    def drain(self) -> list[Proposal]:
        """Remove and return the collected proposals."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        proposals = self.proposals
        self.proposals = []
        return proposals

    def flush(self) -> None:
        """Propose the collected proposals without delay."""
        proposals = self.drain()
        if proposals:
            self.propose(proposals)

    def _set_timer(self) -> None:
        loop = get_running_loop()
        self.timer = loop.call_later(self.get_delay(), self._flush_or_wait)

    def _flush_or_wait(self) -> None:
        # Another sync since the timer was set may have extended the delay.
        if self.get_delay():
            self._set_timer()
        else:
            self.flush()
