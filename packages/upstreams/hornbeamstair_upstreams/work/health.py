"""Evidence that a worker fails what it is given."""

from typing import Final

from attrs import define, field

from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('WorkerHealth',)

# Failures in a row, of several phases, that tell a bad worker.
_MAX_FAILURES: Final = 3
_MIN_GROUPS: Final = 2
# Rest after one refusal or one order without an answer.
_REFUSED_SECONDS: Final = 0.2
_SILENT_SECONDS: Final = 0.5
# A quarantine doubles until a run succeeds.
_FIRST_SECONDS: Final = 2.0
_LONGEST_SECONDS: Final = 10.0


@define(eq=False)
class WorkerHealth:
    """Failures in a row and the time for which no work is placed.

    Failures of one phase may be the fault of its job: only failures of
    several phases tell a bad worker.
    """

    failures: int = 0
    failed_groups: set[str] = field(factory=set)
    quarantined_until: float = -1000
    next_seconds: float = _FIRST_SECONDS

    def is_quarantined(self, now: float) -> bool:
        """Tell whether no work is to be placed."""
        return now < self.quarantined_until

    def note_end(self, end: RunEnd, group: str) -> None:
        """Note how a run ended."""
        if end == RunEnd.done:
            self.failures = 0
            self.failed_groups.clear()
            self.next_seconds = _FIRST_SECONDS
        elif end == RunEnd.failed:
            self.failures += 1
            self.failed_groups.add(group)

    def note_refused(self, now: float) -> None:
        """Note that the worker refused a run."""
        self._rest(now, _REFUSED_SECONDS)

    def note_silent(self, now: float) -> None:
        """Note that an order had no answer."""
        self._rest(now, _SILENT_SECONDS)

    def quarantine_if_bad(self, now: float) -> bool:
        """Begin a quarantine once the failures tell a bad worker."""
        is_bad = self.failures >= _MAX_FAILURES
        if is_bad and len(self.failed_groups) >= _MIN_GROUPS:
            self._quarantine(now)
            return True
        return False

    def _quarantine(self, now: float) -> None:
        self.failures = 0
        self.failed_groups.clear()
        self._rest(now, self.next_seconds)
        self.next_seconds = min(self.next_seconds * 2, _LONGEST_SECONDS)

    def _rest(self, now: float, seconds: float) -> None:
        self.quarantined_until = max(self.quarantined_until, now + seconds)
