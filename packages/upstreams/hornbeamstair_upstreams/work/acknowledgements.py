"""Acknowledgements of ends, apart from starts that may be late.

Each incarnation of a worker numbers its ends from one. An acknowledgement that
reaches the next incarnation late has it drop the ends of the runs that late
starts have begun there, before any poll has listed them. So no incarnation may
execute both, in this order:

- while a start may still reach another incarnation, nothing is acknowledged;
- a start beside an acknowledgement without an answer carries a higher token,
  and a worker that has seen it rejects the acknowledgement.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define

from hornbeamstair_upstreams.work.messages import OrderOutcome
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.start_orders import get_latest_arrival

__all__ = ('Acknowledgements',)

# A worker with ends that it was not told to drop answers polls at once.
_HELD_POLL_SECONDS: Final = 0.1


@define(eq=False)
class Acknowledgements:
    """What the acknowledgements to one worker may meet there."""

    # Starts of runs that are no longer tracked may arrive until this time.
    starts_until: float = float('-inf')
    # A poll that acknowledges ends, with the present token, may be executed.
    is_open: bool = False

    def handle_outcome(self, outcome: OrderOutcome) -> None:
        """Handle the outcome of the last poll."""
        if outcome != OrderOutcome.unknown:
            self.is_open = False

    def handle_removed(self, run: Run, polled_at: float) -> None:
        """Remember the late starts of a run that is no longer tracked."""
        arrival = get_latest_arrival(run, polled_at)
        if arrival is not None:
            self.starts_until = max(self.starts_until, arrival)

    def may_send(
        self,
        runs: Iterable[Run],
        polled_at: float,
        now: float,
    ) -> bool:
        """Return whether no start may reach another incarnation."""
        if now <= self.starts_until:
            return False
        arrivals = (get_latest_arrival(run, polled_at) for run in runs)
        return all(arrival is None or now > arrival for arrival in arrivals)

    def is_poll_due(self, last_sent_at: float, now: float) -> bool:
        """Return whether a poll that acknowledges nothing is due."""
        return now - last_sent_at >= _HELD_POLL_SECONDS
