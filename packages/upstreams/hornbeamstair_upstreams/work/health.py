"""Failure tracking and quarantine of a worker."""

from typing import Final

from attrs import define, field

from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('WorkerHealth',)

# Consecutive failures, and distinct phases among them, that start a
# quarantine.
_MAX_FAILURES: Final = 3
_MIN_FAILED_PHASES: Final = 2
# Pauses after refusals: each is twice as long as the last until a run starts.
_MIN_REFUSAL_PAUSE_SECONDS: Final = 0.2
_MAX_REFUSAL_PAUSE_SECONDS: Final = 5.0
# Longer than a run takes to be stopped and found missing.
_MIN_ABANDONED_PAUSE_SECONDS: Final = 2.0
# Pause after one unanswered order.
_UNANSWERED_PAUSE_SECONDS: Final = 0.5
# Each quarantine is twice as long as the last until a run succeeds.
_MIN_QUARANTINE_SECONDS: Final = 2.0
_MAX_QUARANTINE_SECONDS: Final = 10.0


@define(eq=False)
class WorkerHealth:
    """Consecutive failures of a worker and the end of its quarantine.

    Failures in one phase may be caused by its job, so only failures in
    several phases indicate a bad worker.
    """

    failures: int = 0
    failed_phases: set[str] = field(factory=set)
    quarantined_until: float = -1000
    next_quarantine_seconds: float = _MIN_QUARANTINE_SECONDS
    next_refusal_pause_seconds: float = _MIN_REFUSAL_PAUSE_SECONDS

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker is excluded from placement."""
        return now < self.quarantined_until

    def handle_end(self, end: RunEnd, phase_id: str) -> None:
        """Update the failure counts with the end of a run."""
        if end == RunEnd.done:
            self.failures = 0
            self.failed_phases.clear()
            self.next_quarantine_seconds = _MIN_QUARANTINE_SECONDS
        elif end == RunEnd.failed:
            self.failures += 1
            self.failed_phases.add(phase_id)

    def handle_refusal(self, now: float) -> None:
        """Pause placement after the worker refused a run.

        A refusal during a pause is of a run that was placed before it.
        """
        if not self.is_quarantined(now):
            self._pause_longer(now)

    def handle_abandoned(self, now: float) -> None:
        """Pause placement on a worker that ignores start orders.

        The pause is long enough that its tasks are placed elsewhere first.
        """
        if self.is_quarantined(now + _UNANSWERED_PAUSE_SECONDS):
            # Another start was abandoned just before.
            return
        self.next_refusal_pause_seconds = max(
            self.next_refusal_pause_seconds,
            _MIN_ABANDONED_PAUSE_SECONDS,
        )
        self._pause_longer(now)

    def handle_start(self) -> None:
        """Reset the pauses after refusals, since a run has started."""
        self.next_refusal_pause_seconds = _MIN_REFUSAL_PAUSE_SECONDS

    def handle_unanswered(self, now: float) -> None:
        """Pause placement after an unanswered order."""
        self._pause(now, _UNANSWERED_PAUSE_SECONDS)

    def quarantine_if_unhealthy(self, now: float) -> bool:
        """Start a quarantine if the failures indicate a bad worker."""
        is_bad = self.failures >= _MAX_FAILURES
        if is_bad and len(self.failed_phases) >= _MIN_FAILED_PHASES:
            self._quarantine(now)
            return True
        return False

    def _quarantine(self, now: float) -> None:
        self.failures = 0
        self.failed_phases.clear()
        self._pause(now, self.next_quarantine_seconds)
        self.next_quarantine_seconds = min(
            self.next_quarantine_seconds * 2,
            _MAX_QUARANTINE_SECONDS,
        )

    def _pause_longer(self, now: float) -> None:
        self._pause(now, self.next_refusal_pause_seconds)
        self.next_refusal_pause_seconds = min(
            self.next_refusal_pause_seconds * 2,
            _MAX_REFUSAL_PAUSE_SECONDS,
        )

    def _pause(self, now: float, seconds: float) -> None:
        self.quarantined_until = max(self.quarantined_until, now + seconds)
