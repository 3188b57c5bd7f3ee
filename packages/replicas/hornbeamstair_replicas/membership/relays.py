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

    def handle_report(
        self,
        process: VoterId,
        zone: ZoneName,
        now: float,
    ) -> None:
        """Update the last report and the zone of a relay."""
        self.last_reports[process] = now
        self.zones[process] = zone

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
