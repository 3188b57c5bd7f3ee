"""Guard of the connections of all front ends of a process."""

from abc import ABC, abstractmethod
from asyncio import TimerHandle, get_running_loop
from collections.abc import Iterable
from typing import Final

from attrs import define, field

from hornbeamstair_core.clients.causes import Cause
from hornbeamstair_core.clients.connection import ClientConnection
from hornbeamstair_core.clients.intake import Eviction, Intake
from hornbeamstair_core.clients.limits import ClientLimits
from hornbeamstair_core.clients.reports import RefusalReports
from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.events import log_event
from hornbeamstair_core.metrics import Metrics

__all__ = ('ClientGuard', 'RefusableConnection')

# The limits are of many seconds.
_SWEEP_SECONDS: Final = 1.0


class RefusableConnection(ABC):
    """Connection that can be refused for what its client does."""

    @abstractmethod
    def refuse(self, cause: Cause) -> None:
        """Refuse the request that is received, and close."""

    @abstractmethod
    def measure(self, now: float) -> None:
        """Measure how much of an answer is unread."""


@define(eq=False)
class ClientGuard:
    """Applies the limits of clients to the connections of a process."""

    limits: ClientLimits = field(factory=ClientLimits)
    metrics: Metrics = field(factory=Metrics)
    intake: Intake = field(init=False)
    reports: RefusalReports = field(factory=RefusalReports)
    connections: dict[ClientConnection, RefusableConnection] = field(
        factory=dict
    )
    timer: TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        """Create the accounting."""
        self.intake = Intake(self.limits)

    def open(
        self,
        connection: ClientConnection,
        refusable: RefusableConnection,
    ) -> None:
        """Add a connection, and refuse one if there are too many."""
        self.connections[connection] = refusable
        eviction = self.intake.open(connection)
        if eviction is not None:
            self.refuse((eviction,))
        if self.timer is None:
            self._start_timer()

    def close(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        if self.connections.pop(connection, None) is not None:
            self.intake.close(connection)

    def receive(self, connection: ClientConnection) -> None:
        """Account received bytes, and refuse what exceeds a limit."""
        evictions = self.intake.receive(connection)
        if evictions:
            self.refuse(evictions)

    def release(self, connection: ClientConnection) -> None:
        """Account that a connection holds less."""
        self.intake.update(connection)

    def hold_unread(self, connection: ClientConnection) -> None:
        """Account unread bytes, and refuse what exceeds the limit."""
        self.intake.update(connection)
        self.refuse(self.intake.find_largest())

    def refuse(self, evictions: Iterable[Eviction]) -> None:
        """Refuse connections, count and report them."""
        for eviction in evictions:
            connection = eviction.connection
            if connection.refusal is None:
                # The connection needs its state to know what it may answer.
                self.connections[connection].refuse(eviction.cause)
                self.intake.refuse(eviction)
                cause = eviction.cause
                self.metrics.refused_clients.labels(cause.value).inc()
                self.reports.add(cause, connection.client)

    def _start_timer(self) -> None:
        self.timer = get_running_loop().call_later(_SWEEP_SECONDS, self._sweep)

    def _sweep(self) -> None:
        now = get_monotonic_time()
        for connection, refusable in self.connections.items():
            if connection.unread_bytes:
                refusable.measure(now)
        self.refuse(self.intake.find_late(now))
        for event in self.reports.pop_due(now):
            log_event(event)
        self.timer = None
        if self.connections or self.reports.counts:
            self._start_timer()
