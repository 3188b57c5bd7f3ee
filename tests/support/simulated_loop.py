"""Event loop on a simulated clock, which only timers and disks advance."""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector, SelectorKey

from attrs import define

from hornbeamstair_replicas.storage.memory import MemoryLogStorage

__all__ = ('SlowStorage', 'SimulatedClock', 'SimulatedLoop')


@define(eq=False)
class SimulatedClock:
    """Simulated clock that moves only when it is advanced."""

    now: float = 100

    def get_time(self) -> float:
        """Get the time in seconds."""
        return self.now


class _SimulatedSelector(DefaultSelector):
    """Selector that advances the clock instead of waiting."""

    def __init__(self, clock: SimulatedClock) -> None:
        super().__init__()
        self.clock = clock

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[SelectorKey, int]]:
        """Advance the clock to the next timer."""
        self.clock.now += max(timeout or 0, 0)
        return super().select(0)


class SimulatedLoop(SelectorEventLoop):
    """Event loop whose timers run on a simulated clock."""

    def __init__(self, clock: SimulatedClock) -> None:
        """Create a loop on the given clock."""
        super().__init__(_SimulatedSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Get the simulated time in seconds."""
        return self.clock.now


@define(eq=False, kw_only=True)
class SlowStorage(MemoryLogStorage):
    """Storage whose syncs block the event loop for a simulated time."""

    clock: SimulatedClock
    sync_seconds: float
    spent_seconds: float = 0

    def sync(self) -> None:
        """Advance the clock by the time of a sync, then sync."""
        self.clock.now += self.sync_seconds
        self.spent_seconds += self.sync_seconds
        super().sync()
