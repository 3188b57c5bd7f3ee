"""Cached list of the hosts of the platform."""

from collections.abc import Callable

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import HostId
from hornbeamstair_fleet.events import HostListEvent
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.waves.messages import ListedHost

__all__ = ('HostList',)


@define(eq=False)
class HostList:
    """Cache of the hosts that the platform lists, refreshed on demand."""

    client: HostsClient
    get_time: Callable[[], float]
    hosts: dict[HostId, ListedHost] = field(factory=dict)
    listed_at: float = -1000
    # Time of the last list that contained a host.
    last_seen_at: dict[HostId, float] = field(factory=dict)
    is_known: bool = True
    # Time of the last order about a host.
    last_order_at: dict[HostId, float] = field(factory=dict)

    async def refresh(self, max_age_seconds: float) -> bool:
        """Read the list if it is too old; return whether there are hosts."""
        started_at = self.get_time()
        if started_at - self.listed_at <= max_age_seconds:
            return bool(self.hosts)
        listed = await self.client.list_hosts()
        if (listed is not None) != self.is_known:
            self.is_known = listed is not None
            log_event(HostListEvent(self.is_known, len(listed or ())))
        if listed is not None:
            self.hosts = {host.host: host for host in listed}
            self.listed_at = started_at
            self.last_seen_at.update(dict.fromkeys(self.hosts, started_at))
        return bool(self.hosts)

    def update_order_time(self, host: HostId) -> None:
        """Set the time of the last order about a host to now."""
        self.last_order_at[host] = self.get_time()

    def is_newer_than_order(self, host: HostId) -> bool:
        """Return whether the list is newer than the last order about a host."""
        return self.listed_at > self.last_order_at.get(host, -1000)

    def get_absence_seconds(self, host: HostId) -> float:
        """Get the seconds for which a host has been missing from the lists."""
        last_seen_at = self.last_seen_at.setdefault(host, self.get_time())
        return max(self.listed_at - last_seen_at, 0)

    def get_seconds_since_order(self, host: HostId) -> float:
        """Get the seconds from the last order about a host to the list."""
        last_order_at = self.last_order_at.setdefault(host, self.get_time())
        return self.listed_at - last_order_at
