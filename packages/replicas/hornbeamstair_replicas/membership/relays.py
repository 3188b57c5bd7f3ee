"""Processes that send orders to workers for the leader."""

from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId

__all__ = ('RelayClock', 'RelayDirectory')

# Processes report every 0.5 s.
_REPORT_VALID_SECONDS: Final = 1.6
# Heartbeats are answered every 0.1 s; a relay that misses three of them may
# be paused or cut off.
_RESPONSIVE_SECONDS: Final = 0.35
# Longest interval between two checks of a process that is not late itself.
_CHECK_SECONDS: Final = 0.1
# After a longer pause nothing is known of the relays: half of the time for
# which a report is valid.
_MAX_LATENESS_SECONDS: Final = 0.8


@frozen
class RelayClock:
    """Clock of a relay as a report shows it, in seconds."""

    # Tells the clock of a process from that of the one before.
    joined_at: float
    # Lowest difference to the own clock: a report may have been delayed.
    offset: float


@define(eq=False)
class RelayDirectory:
    """Last reports of the processes that relay orders, with their zones."""

    last_reports: dict[VoterId, float] = field(factory=dict)
    zones: dict[VoterId, ZoneName] = field(factory=dict)
    clocks: dict[VoterId, RelayClock] = field(factory=dict)
    # Time of the last check of which relays answer.
    checked_at: float = 0

    def handle_report(
        self,
        process: VoterId,
        zone: ZoneName,
        clock: RelayClock,
        now: float,
    ) -> None:
        """Update the last report, the zone and the clock of a relay."""
        self.last_reports[process] = now
        self.zones[process] = zone
        known = self.clocks.get(process, clock)
        if known.joined_at != clock.joined_at or known.offset < clock.offset:
            self.clocks[process] = clock
        else:
            self.clocks[process] = known

    def get_lowest_reading(self, process: VoterId, now: float) -> float:
        """Get a time that the clock of a relay has reached by now."""
        return now + self.clocks[process].offset

    def get_responsive(
        self,
        contact_ages: Mapping[VoterId, float],
        now: float,
    ) -> dict[ZoneName, tuple[VoterId, ...]]:
        """Get the relays of each zone that answer; ages are in seconds.

        A process that is late sends its heartbeats late and reads the answers
        late. If it took its relays for silent then, it would send all orders
        itself, and never be in time again.
        """
        lateness = max(now - self.checked_at - _CHECK_SECONDS, 0)
        lateness = min(lateness, _MAX_LATENESS_SECONDS)
        self.checked_at = now
        # Both the heartbeat and its answer may have waited.
        limit = _RESPONSIVE_SECONDS + 2 * lateness
        relays: dict[ZoneName, tuple[VoterId, ...]] = {}
        for process, reported_at in sorted(self.last_reports.items()):
            is_reported = now - reported_at < _REPORT_VALID_SECONDS + lateness
            if is_reported and contact_ages.get(process, now) < limit:
                zone = self.zones[process]
                relays[zone] = (*relays.get(zone, ()), process)
        return relays
