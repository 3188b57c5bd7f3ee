"""Decisions about what the clients of one process may hold together."""

from collections import Counter, OrderedDict

from attrs import define, field, frozen

from hornbeamstair_core.clients.causes import Cause
from hornbeamstair_core.clients.connection import ClientConnection
from hornbeamstair_core.clients.limits import ClientLimits

__all__ = ('Eviction', 'Intake')


@frozen
class Eviction:
    """Connection to refuse, and why."""

    connection: ClientConnection
    cause: Cause


@define(eq=False)
class Intake:
    """Connections of all front ends of a process and what they hold."""

    limits: ClientLimits = field(factory=ClientLimits)
    # In the order of their last progress.
    connections: OrderedDict[ClientConnection, int] = field(factory=OrderedDict)
    per_client: Counter[str] = field(factory=Counter)
    held_bytes: int = 0

    def open(self, connection: ClientConnection) -> Eviction | None:
        """Add a connection; return the one to refuse for it, if any."""
        self.connections[connection] = 0
        self.per_client.update((connection.client,))
        share = self.limits.connections_per_client
        # A share of all connections is none: a stalled one is closed instead.
        has_share = share < self.limits.connections
        if has_share and self.per_client[connection.client] > share:
            return Eviction(connection, Cause.client)
        if len(self.connections) > self.limits.connections:
            return Eviction(self._find_stalled(connection), Cause.connections)
        return None

    def close(self, connection: ClientConnection) -> None:
        """Remove a connection and release what it held."""
        self.held_bytes -= self.connections.pop(connection, 0)
        self.per_client[connection.client] -= 1
        if self.per_client[connection.client] <= 0:
            self.per_client.pop(connection.client)

    def update(self, connection: ClientConnection) -> None:
        """Account what a connection holds now."""
        accounted_bytes = self.connections.get(connection)
        if accounted_bytes is not None:
            held_bytes = connection.held_bytes
            self.held_bytes += held_bytes - accounted_bytes
            self.connections[connection] = held_bytes

    def receive(self, connection: ClientConnection) -> list[Eviction]:
        """Account received bytes; return the connections to refuse."""
        if connection not in self.connections:
            return []
        self.connections.move_to_end(connection)
        self.update(connection)
        cause = connection.find_excess(self.limits)
        if cause is not None:
            return [Eviction(connection, cause)]
        return self.find_largest()

    def find_largest(self) -> list[Eviction]:
        """Find the connections to refuse to hold no more than allowed.

        Of those that hold at least the mean the one without progress for the
        longest time goes first, so that small and lively ones remain.
        """
        excess = self.held_bytes - self.limits.unfinished_bytes
        if excess <= 0:
            return []
        candidates = [
            (connection, held_bytes)
            for connection, held_bytes in self.connections.items()
            if held_bytes and connection.is_evictable
        ]
        total = sum(held_bytes for _, held_bytes in candidates)
        evictions = []
        for connection, held_bytes in candidates:
            if excess > 0 and held_bytes * len(candidates) >= total:
                evictions.append(Eviction(connection, Cause.unfinished))
                excess -= held_bytes
        return evictions

    def refuse(self, eviction: Eviction) -> None:
        """Release what a connection held; it is closed without delay."""
        eviction.connection.refuse(eviction.cause)
        self.update(eviction.connection)

    def find_late(self, now: float) -> list[Eviction]:
        """Find the connections whose clients have not done their part."""
        evictions = []
        for connection in self.connections:
            if connection.refusal is not None:
                continue
            cause = connection.find_lateness(self.limits, now)
            if cause is not None:
                evictions.append(Eviction(connection, cause))
        return evictions

    def _find_stalled(self, newest: ClientConnection) -> ClientConnection:
        for connection in self.connections:
            if connection.is_evictable:
                return connection
        return newest
