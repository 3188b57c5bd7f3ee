"""Processes that send orders to workers for the leader."""

from collections.abc import Mapping
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId

__all__ = ('RelayDirectory',)

# Processes report every 0.5 s.
_REPORT_VALID_SECONDS: Final = 1.6
# Heartbeats are answered every 0.1 s; a relay that misses three of them may
# be paused or cut off.
_RESPONSIVE_SECONDS: Final = 0.35


@define(eq=False)
class RelayDirectory:
    """Last reports of the processes that relay orders, with their zones."""

    last_reports: dict[VoterId, float] = field(factory=dict)
    zones: dict[VoterId, ZoneName] = field(factory=dict)
    # Lowest difference of the clock of each relay to the own one, in seconds.
    clock_offsets: dict[VoterId, float] = field(factory=dict)

    def handle_report(
        self,
        process: VoterId,
        zone: ZoneName,
        clock: float,
        now: float,
    ) -> None:
        """Update the last report, the zone and the clock of a relay."""
        self.last_reports[process] = now
        self.zones[process] = zone
        # A report that was delayed shows an earlier time than it is there.
        known = self.clock_offsets.get(process, clock - now)
        self.clock_offsets[process] = max(known, clock - now)

    def get_lowest_reading(self, process: VoterId, now: float) -> float:
        """Get a time that the clock of a relay has reached by now."""
        return now + self.clock_offsets[process]

    def get_responsive(
        self,
        contact_ages: Mapping[VoterId, float],
        now: float,
    ) -> dict[ZoneName, VoterId]:
        """Get one relay of each zone that answers; ages are in seconds."""
        return {
            self.zones[process]: process
            for process, reported_at in sorted(self.last_reports.items())
            if now - reported_at < _REPORT_VALID_SECONDS
            and contact_ages.get(process, now) < _RESPONSIVE_SECONDS
        }
