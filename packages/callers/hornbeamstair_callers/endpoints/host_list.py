"""List of the hosts, read when it is asked for and has grown old."""

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
    """Hosts as the platform listed them last."""

    client: HostsClient
    get_time: Callable[[], float]
    hosts: dict[HostId, ListedHost] = field(factory=dict)
    listed_at: float = -1000
    # Time of the last list that held a host.
    seen_at: dict[HostId, float] = field(factory=dict)
    is_known: bool = True
    # Time of the last order about a host.
    ordered_at: dict[HostId, float] = field(factory=dict)

    async def refresh(self, age_seconds: float) -> bool:
        """Read the list if it is older; tell whether there is one."""
        began = self.get_time()
        if began - self.listed_at <= age_seconds:
            return bool(self.hosts)
        listed = await self.client.list_hosts()
        if (listed is not None) != self.is_known:
            self.is_known = listed is not None
            log_event(HostListEvent(self.is_known, len(listed or ())))
        if listed is not None:
            self.hosts = {found.host: found for found in listed}
            self.listed_at = began
            self.seen_at.update(dict.fromkeys(self.hosts, began))
        return bool(self.hosts)

    def note_order(self, host: HostId) -> None:
        """Note that a host was just ordered about."""
        self.ordered_at[host] = self.get_time()

    def is_newer_than_order(self, host: HostId) -> bool:
        """Tell whether the list was read after the last order."""
        return self.listed_at > self.ordered_at.get(host, -1000)

    def get_absence(self, host: HostId) -> float:
        """Get the seconds for which the lists have missed a host."""
        seen_at = self.seen_at.setdefault(host, self.get_time())
        return max(self.listed_at - seen_at, 0)

    def get_age_of_order(self, host: HostId) -> float:
        """Get the seconds from the last order to the list."""
        ordered_at = self.ordered_at.setdefault(host, self.get_time())
        return self.listed_at - ordered_at
