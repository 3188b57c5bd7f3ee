"""Directory of the registered upstreams."""

from collections import defaultdict
from typing import Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.events import Event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ServiceName, UpstreamId
from hornbeamstair_upstreams.events import (
    UpstreamEjectedEvent,
    UpstreamJoinedEvent,
    UpstreamLapsedEvent,
    UpstreamLeftEvent,
    UpstreamReinstatedEvent,
)
from hornbeamstair_upstreams.failures import AnnouncementConflictFailure
from hornbeamstair_upstreams.health import get_max_ejected, is_outlier
from hornbeamstair_upstreams.lifecycle import (
    Upstream,
    UpstreamTrigger,
    change_state,
)
from hornbeamstair_upstreams.messages import (
    Announcement,
    AnnouncementAnswer,
    Departure,
)

__all__ = ('LEASE_SECONDS', 'RENEW_SECONDS', 'UpstreamDirectory')

LEASE_SECONDS: Final = 1.5
RENEW_SECONDS: Final = 0.5


@define
class UpstreamDirectory:
    """Upstreams by service, with their leases and health."""

    upstreams: dict[UpstreamId, Upstream] = field(factory=dict)
    by_service: defaultdict[ServiceName, dict[UpstreamId, Upstream]] = field(
        factory=lambda: defaultdict(dict),
    )
    events: list[Event] = field(factory=list)

    def announce(
        self,
        announcement: Announcement,
        now: float,
    ) -> Result[AnnouncementAnswer, Failure]:
        """Register an upstream or renew its lease."""
        known = self.upstreams.get(announcement.upstream)
        if known is None:
            self._add(announcement, now)
            return Ok(AnnouncementAnswer(LEASE_SECONDS, RENEW_SECONDS))
        known_incarnation = known.announcement.incarnation
        if announcement.incarnation < known_incarnation:
            return Error(
                AnnouncementConflictFailure(
                    announcement.upstream,
                    known_incarnation,
                ),
            )
        self._renew(known, announcement, now)
        return Ok(AnnouncementAnswer(LEASE_SECONDS, RENEW_SECONDS))

    def depart(self, departure: Departure, now: float) -> None:
        """Stop sending new calls to an upstream; ignore an unknown one."""
        known = self.upstreams.get(departure.upstream)
        if known is None or not (known.is_serving or known.is_ejected):
            return
        if departure.incarnation >= known.announcement.incarnation:
            change_state(known, UpstreamTrigger.leave)
            self.events.append(UpstreamLeftEvent(departure.upstream))

    def expire(self, now: float) -> None:
        """Remove upstreams whose lease expired, and end ejections."""
        for known in list(self.upstreams.values()):
            if known.lease_until <= now:
                self._remove(known)
            elif known.is_ejected and known.health.ejected_until <= now:
                change_state(known, UpstreamTrigger.reinstate)
                known.health.end_ejection()
                self.events.append(
                    UpstreamReinstatedEvent(known.announcement.upstream),
                )

    def find_free(self, service: ServiceName, now: float) -> list[Upstream]:
        """Find the upstreams of a service that can take a call now."""
        return [
            known
            for known in self.by_service[service].values()
            if known.is_serving
            and known.free_slots > 0
            and known.lease_until > now
        ]

    def has_upstreams(self, service: ServiceName, now: float) -> bool:
        """Return whether a service has upstreams that are not leaving."""
        return any(
            not known.is_leaving and known.lease_until > now
            for known in self.by_service[service].values()
        )

    def add_attempt(
        self,
        upstream: Upstream,
        now: float,
        *,
        failed: bool,
    ) -> None:
        """Count an attempt; eject the upstream if it is an outlier."""
        upstream.health.add_attempt(failed=failed)
        if failed and upstream.is_serving:
            self._eject_outlier(upstream, now)

    def drain_events(self) -> list[Event]:
        """Return and clear the events since the last call."""
        events = self.events
        self.events = []
        return events

    def _add(self, announcement: Announcement, now: float) -> None:
        upstream = Upstream(announcement, now + LEASE_SECONDS)
        self.upstreams[announcement.upstream] = upstream
        upstreams = self.by_service[announcement.service]
        upstreams[announcement.upstream] = upstream
        self.events.append(
            UpstreamJoinedEvent(
                announcement.upstream,
                announcement.service,
                announcement.slots,
            ),
        )

    def _renew(
        self,
        known: Upstream,
        announcement: Announcement,
        now: float,
    ) -> None:
        previous = known.announcement
        if announcement.service != previous.service:
            self._remove(known)
            self._add(announcement, now)
            return
        if announcement.incarnation > previous.incarnation:
            known.health.end_ejection()
            if known.is_leaving:
                change_state(known, UpstreamTrigger.rejoin)
        known.announcement = announcement
        known.lease_until = now + LEASE_SECONDS

    def _remove(self, known: Upstream) -> None:
        announced = known.announcement
        if known.is_serving or known.is_ejected:
            self.events.append(UpstreamLapsedEvent(announced.upstream))
        change_state(known, UpstreamTrigger.lapse)
        self.upstreams.pop(announced.upstream)
        self.by_service[announced.service].pop(announced.upstream)

    def _eject_outlier(self, upstream: Upstream, now: float) -> None:
        members = list(self.by_service[upstream.announcement.service].values())
        ejected = sum(1 for member in members if member.is_ejected)
        members_health = [member.health for member in members]
        if ejected >= get_max_ejected(len(members)):
            return
        if is_outlier(upstream.health, members_health):
            seconds = upstream.health.start_ejection(now)
            change_state(upstream, UpstreamTrigger.eject)
            self.events.append(
                UpstreamEjectedEvent(
                    upstream.announcement.upstream,
                    upstream.health.failure_share,
                    seconds,
                ),
            )
