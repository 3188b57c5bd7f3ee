"""Event loop whose clock only timers and slow disks move."""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector, SelectorKey

from attrs import define

from hornbeamstair_replicas.storage.memory import MemoryLogStorage

__all__ = ('SlowStorage', 'SteppedClock', 'SteppedLoop')


@define(eq=False)
class SteppedClock:
    """Clock that stands still unless it is moved."""

    now: float = 100

    def get_time(self) -> float:
        """Get the time in seconds."""
        return self.now


class _JumpingSelector(DefaultSelector):
    """Selector that moves the clock instead of waiting."""

    def __init__(self, clock: SteppedClock) -> None:
        super().__init__()
        self.clock = clock

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[SelectorKey, int]]:
        """Move the clock to the next timer."""
        self.clock.now += max(timeout or 0, 0)
        return super().select(0)


class SteppedLoop(SelectorEventLoop):
    """Loop on a stepped clock."""

    def __init__(self, clock: SteppedClock) -> None:
        """Take the clock."""
        super().__init__(_JumpingSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Get the time of the clock."""
        return self.clock.now


@define(eq=False, kw_only=True)
class SlowStorage(MemoryLogStorage):
    """Storage that holds the loop up for some time with each sync."""

    clock: SteppedClock
    sync_seconds: float
    spent_seconds: float = 0

    def sync(self) -> None:
        """Move the clock, then sync."""
        self.clock.now += self.sync_seconds
        self.spent_seconds += self.sync_seconds
        super().sync()
