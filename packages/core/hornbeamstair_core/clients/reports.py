"""Budget of the events that report refused clients."""

from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.clients.causes import Cause
from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = ('ClientsRefusedEvent', 'RefusalReports')

# One line of each cause in this time: enough to see when an attack goes on.
_INTERVAL_SECONDS: Final = 10.0


@register_event
@frozen
class ClientsRefusedEvent(Event):
    """Clients that were refused for one cause since the last such event."""

    number = 1010
    name = 'clients_refused'
    summary = 'Clients met a limit; the last of them is named.'
    level = EventLevel.warning

    cause: str
    count: int
    client: str


@define(eq=False)
class RefusalReports:
    """Counts refusals and reports each cause at most every ten seconds."""

    counts: dict[Cause, int] = field(factory=dict)
    reported_at: dict[Cause, float] = field(factory=dict)
    clients: dict[Cause, str] = field(factory=dict)

    def add(self, cause: Cause, client: str) -> None:
        """Count the refusal of a client."""
        self.counts[cause] = self.counts.get(cause, 0) + 1
        self.clients[cause] = client

    def pop_due(self, now: float) -> list[ClientsRefusedEvent]:
        """Return the events that are due."""
        due = [
            cause
            for cause in self.counts
            if cause not in self.reported_at
            or now - self.reported_at[cause] >= _INTERVAL_SECONDS
        ]
        for cause in due:
            self.reported_at[cause] = now
        return [
            ClientsRefusedEvent(
                cause.value, self.counts.pop(cause), self.clients.pop(cause)
            )
            for cause in due
        ]
