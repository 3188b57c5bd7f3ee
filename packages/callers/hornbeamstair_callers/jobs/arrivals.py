"""Rate at which work arrives for each service."""

from collections import deque
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_core.ids import ServiceName

__all__ = ('ArrivalRates',)

# Shorter than a burst, longer than the gaps between its jobs.
_WINDOW_SECONDS: Final = 1.0


@define(eq=False)
class ArrivalRates:
    """Work of the jobs that arrived within a window."""

    by_service: dict[ServiceName, 'deque[tuple[float, float]]'] = field(
        factory=dict,
    )

    def note(self, record: JobAccepted) -> None:
        """Note a job that was accepted and is due at once."""
        spec = record.spec
        if spec.lasts or spec.repeat_count:
            return
        work = sum(
            phase.count * phase.needs.room.cpu * phase.needs.estimate_seconds
            for phase in spec.phases
        )
        arrived = self.by_service.setdefault(record.service, deque())
        arrived.append((record.accepted_at, work))

    def get_rate(self, service: ServiceName, wall: float) -> float:
        """Get the thousandths of a core that recent arrivals keep busy."""
        arrived = self.by_service.get(service)
        if not arrived:
            return 0
        while arrived and arrived[0][0] < wall - _WINDOW_SECONDS:
            arrived.popleft()
        return sum(work for _, work in arrived) / _WINDOW_SECONDS
