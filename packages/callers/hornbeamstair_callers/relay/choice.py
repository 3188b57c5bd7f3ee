"""Choice of the process that sends an order to a worker for the leader."""

from collections.abc import Mapping
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import WorkerId, ZoneName
from hornbeamstair_replicas.messages import VoterId

__all__ = ('RelayChoice',)

# With fewer workers, the leader's event loop has time for all orders, and a
# relay would only delay them.
_MIN_WORKERS: Final = 64
# After an order without an answer, the leader sends the orders to this worker
# itself: the path from the relay to the worker may be cut.
_AVOID_SECONDS: Final = 2.0


@define(eq=False)
class RelayChoice:
    """Relay of each worker: a process in its zone that answers the leader.

    Made for sites with hundreds of workers: their orders and polls take most
    of the time of the leader's event loop.
    """

    # Relays that answer the leader, by zone.
    relays: Mapping[ZoneName, VoterId] = field(factory=dict)
    worker_count: int = 0
    avoided_until: dict[WorkerId, float] = field(factory=dict)

    def update(
        self,
        relays: Mapping[ZoneName, VoterId],
        worker_count: int,
        now: float,
    ) -> None:
        """Set the relays that answer and the number of workers."""
        self.relays = relays
        self.worker_count = worker_count
        self.avoided_until = {
            worker: until
            for worker, until in self.avoided_until.items()
            if until > now
        }

    def avoid(self, worker: WorkerId, now: float) -> None:
        """Send the orders to a worker without a relay for a while."""
        self.avoided_until[worker] = now + _AVOID_SECONDS

    def choose(
        self,
        worker: WorkerId,
        zone: ZoneName | None,
        now: float,
    ) -> VoterId | None:
        """Choose the relay; None if the leader sends the order itself."""
        if zone is None or self.worker_count < _MIN_WORKERS:
            return None
        if self.avoided_until.get(worker, now) > now:
            return None
        return self.relays.get(zone)

    def is_relay(self, process: VoterId) -> bool:
        """Return whether a process answers the leader and may relay."""
        return process in self.relays.values()
