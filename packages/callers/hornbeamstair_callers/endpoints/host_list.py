"""Cached list of the hosts of the platform."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import HostId
from hornbeamstair_fleet.events import HostListEvent
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.waves.messages import ListedHost

__all__ = ('FRESH_LIST_SECONDS', 'HostList')

# Maximum age of the list for an order about the host of a worker that does not
# answer: a new worker takes longer to start, to be polled and to get runs.
FRESH_LIST_SECONDS: Final = 0.3
# A host counts as removed after this time, since it may be missing from a list
# for a moment.
_ABSENT_SECONDS: Final = 6.0
_NEVER: Final = -1000.0


@define(eq=False)
class HostList:
    """Cache of the hosts that the platform lists, refreshed on demand."""

    client: HostsClient
    get_time: Callable[[], float]
    hosts: dict[HostId, ListedHost] = field(factory=dict)
    listed_at: float = _NEVER
    # Time of the first of the lists in a row that lack a host.
    missing_since: dict[HostId, float] = field(factory=dict)
    is_known: bool = True
    # Time of the last order about a host.
    last_order_at: dict[HostId, float] = field(factory=dict)
    # Term of this process as the leader in which all of this was seen.
    term: int = 0

    def start_term(self, term: int) -> None:
        """Forget what was seen in an earlier term of this process.

        Other leaders may have given orders since.
        """
        if term != self.term:
            self.term = term
            self.hosts = {}
            self.listed_at = _NEVER
            self.missing_since.clear()
            self.last_order_at.clear()

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
            if started_at - self.listed_at > _ABSENT_SECONDS:
                # No list tells whether the hosts were there meanwhile.
                self.missing_since.clear()
            self.hosts = {host.host: host for host in listed}
            self.listed_at = started_at
            for host_id in self.hosts:
                self.missing_since.pop(host_id, None)
        return bool(self.hosts)

    def get_age(self) -> float:
        """Get the seconds since the list was read."""
        return self.get_time() - self.listed_at

    def update_order_time(self, host: HostId) -> None:
        """Set the time of the last order about a host to now."""
        self.last_order_at[host] = self.get_time()

    def is_newer_than_order(self, host: HostId) -> bool:
        """Return whether the list is newer than the last order about a host."""
        return self.listed_at > self.last_order_at.get(host, _NEVER)

    def is_removed(self, host: HostId) -> bool:
        """Return whether lists have lacked a host for some time."""
        if host in self.hosts:
            return False
        missing_since = self.missing_since.setdefault(host, self.listed_at)
        return self.listed_at - missing_since > _ABSENT_SECONDS

    def get_seconds_since_order(self, host: HostId) -> float:
        """Get the seconds from the last order about a host to the list."""
        last_order_at = self.last_order_at.setdefault(host, self.get_time())
        return self.listed_at - last_order_at
