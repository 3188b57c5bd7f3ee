"""Choice of the process that sends an order to a worker for the leader."""

from collections.abc import Mapping, Sequence
from itertools import chain
from typing import Final
from zlib import crc32

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
# Polls that the leader sends itself at a time. Each costs five times a relayed
# one, and takes up to three connections; these fit a fourth of the loop.
_MAX_DIRECT_POLLS: Final = 256


@define(eq=False)
class RelayChoice:
    """Relay of each worker: a process in its zone that answers the leader.

    Made for sites with hundreds of workers: their orders and polls take most
    of the time of the leader's event loop. The workers of a zone are spread
    over its relays. Those that no relay of their zone can reach are left to
    the leader as long as it sends few polls itself, otherwise to the relays of
    other zones.
    """

    # Relays that answer the leader, by zone.
    relays: Mapping[ZoneName, Sequence[VoterId]] = field(factory=dict)
    all_relays: frozenset[VoterId] = frozenset()
    worker_count: int = 0
    avoided_until: dict[WorkerId, float] = field(factory=dict)

    def update(
        self,
        relays: Mapping[ZoneName, Sequence[VoterId]],
        worker_count: int,
        now: float,
    ) -> None:
        """Set the relays that answer and the number of workers."""
        self.relays = relays
        self.all_relays = frozenset(chain.from_iterable(relays.values()))
        self.worker_count = worker_count
        if self.avoided_until:
            self.avoided_until = {
                worker: until
                for worker, until in self.avoided_until.items()
                if until > now
            }

    def avoid(self, worker: WorkerId, now: float) -> None:
        """Send the orders to a worker past the relays of its zone for now."""
        self.avoided_until[worker] = now + _AVOID_SECONDS

    def choose(
        self,
        worker: WorkerId,
        zone: ZoneName | None,
        now: float,
        direct_polls: int = 0,
    ) -> VoterId | None:
        """Choose the relay; None if the leader sends the order itself."""
        if zone is None or self.worker_count < _MIN_WORKERS:
            return None
        is_avoided = self.avoided_until.get(worker, now) > now
        local = () if is_avoided else self.relays.get(zone, ())
        if local:
            return _spread(worker, local)
        if direct_polls < _MAX_DIRECT_POLLS:
            return None
        return _spread(worker, self._get_relays_elsewhere(zone))

    def is_relay(self, process: VoterId) -> bool:
        """Return whether a process answers the leader and may relay."""
        return process in self.all_relays

    def _get_relays_elsewhere(self, zone: ZoneName) -> Sequence[VoterId]:
        return [
            relay
            for other, relays in sorted(self.relays.items())
            if other != zone
            for relay in relays
        ]


def _spread(worker: WorkerId, relays: Sequence[VoterId]) -> VoterId | None:
    """Choose the same relay for a worker while the relays are the same."""
    if not relays:
        return None
    return relays[crc32(worker.encode()) % len(relays)]
