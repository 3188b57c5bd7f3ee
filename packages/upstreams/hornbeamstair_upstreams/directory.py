"""Directory of the registered upstreams."""

from collections import defaultdict
from typing import Final

from attrs import define, field, frozen
from expression import Error, Ok, Result

from hornbeamstair_core.events import Event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ServiceName, UpstreamId
from hornbeamstair_core.units import MINUTE
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

# An announcement that a partition delayed for longer than this is not expected.
_DEPARTED_SECONDS: Final = MINUTE


@frozen
class DepartedUpstream:
    """Upstream that was removed."""

    # Oldest incarnation that may return.
    oldest_incarnation: int
    removed_at: float


@define
class UpstreamDirectory:
    """Upstreams by service, with their leases and health."""

    upstreams: dict[UpstreamId, Upstream] = field(factory=dict)
    by_service: defaultdict[ServiceName, dict[UpstreamId, Upstream]] = field(
        factory=lambda: defaultdict(dict),
    )
    events: list[Event] = field(factory=list)
    # Upstreams removed lately, in the order of their removal.
    departed: dict[UpstreamId, DepartedUpstream] = field(factory=dict)

    def announce(
        self,
        announcement: Announcement,
        now: float,
    ) -> Result[AnnouncementAnswer, Failure]:
        """Register an upstream or renew its lease."""
        known = self.upstreams.get(announcement.upstream)
        oldest = self._get_oldest_incarnation(announcement.upstream)
        if announcement.incarnation < oldest:
            # The announcement was delayed in transit.
            return Error(
                AnnouncementConflictFailure(announcement.upstream, oldest),
            )
        if known is None:
            self._add(announcement, now)
        else:
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
                self._remove(known, now)
            elif known.is_ejected and known.health.ejected_until <= now:
                change_state(known, UpstreamTrigger.reinstate)
                known.health.end_ejection()
                self.events.append(
                    UpstreamReinstatedEvent(known.announcement.upstream),
                )

        self._forget_departed(now)

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
        is_restarted = announcement.incarnation > previous.incarnation
        if is_restarted or announcement.service != previous.service:
            # Its calls in flight and their failures are those of the former
            # incarnation.
            self._remove(known, now)
            self._add(announcement, now)
            return
        known.announcement = announcement
        known.lease_until = now + LEASE_SECONDS

    def _get_oldest_incarnation(self, upstream: UpstreamId) -> int:
        """Get the oldest incarnation that may announce itself."""
        known = self.upstreams.get(upstream)
        if known is not None:
            return known.announcement.incarnation
        departed = self.departed.get(upstream)
        return 0 if departed is None else departed.oldest_incarnation

    def _forget_departed(self, now: float) -> None:
        while self.departed:
            oldest = next(iter(self.departed))
            if now - self.departed[oldest].removed_at < _DEPARTED_SECONDS:
                return
            self.departed.pop(oldest)

    def _remove(self, known: Upstream, now: float) -> None:
        announced = known.announcement
        # An upstream that did not leave may have been partitioned.
        oldest_incarnation = announced.incarnation + known.is_leaving
        self.departed.pop(announced.upstream, None)
        self.departed[announced.upstream] = DepartedUpstream(
            oldest_incarnation, now
        )
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
