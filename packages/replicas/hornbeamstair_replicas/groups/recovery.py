"""Recovery of a member from a storage that has refused a write."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_replicas.events import (
    StorageFailedEvent,
    StorageFailingEvent,
    StorageReopenedEvent,
)
from hornbeamstair_replicas.failures import StorageFailure
from hornbeamstair_replicas.groups.node import LogNode
from hornbeamstair_replicas.storage.base import StorageError

__all__ = ('StorageRecovery',)

# Interval of the attempts to write to a disk that has refused a write.
_REOPEN_SECONDS: Final = 0.5
# A log that keeps only its last lines still shows a long failure.
_REPORT_SECONDS: Final = 5.0


@define(eq=False)
class StorageRecovery:
    """Tries to open a failed storage again until the disk accepts writes."""

    node: LogNode
    get_time: Callable[[], float]
    # Called once the storage holds all that was to be written.
    resume: Callable[[], None]
    # Set while the storage fails.
    failure: Failure | None = field(default=None, init=False)
    failed_at: float = field(default=0, init=False)
    reported_at: float = field(default=0, init=False)
    timer: TimerHandle | None = field(default=None, init=False)

    def start(self, error: StorageError) -> Failure:
        """Start after a failed write or sync; return the failure."""
        self.failed_at = self.get_time()
        self.reported_at = self.failed_at
        failure = StorageFailure(str(error))
        self.failure = failure
        log_event(StorageFailedEvent(self.node.group, failure.reason))
        self._set_timer()
        return failure

    def stop(self) -> None:
        """Stop trying."""
        if self.timer is not None:
            self.timer.cancel()

    def _set_timer(self) -> None:
        loop = get_running_loop()
        self.timer = loop.call_later(_REOPEN_SECONDS, self._reopen)

    def _reopen(self) -> None:
        # Set before anything can fail: no error ends the attempts.
        self._set_timer()
        try:
            self.node.reopen(self.get_time())
        except StorageError as error:
            self._report_failing(error)
            return
        self.stop()
        self.failure = None
        failed_seconds = self.get_time() - self.failed_at
        log_event(
            StorageReopenedEvent(
                self.node.group, to_milliseconds(failed_seconds)
            ),
        )
        self.resume()

    def _report_failing(self, error: StorageError) -> None:
        now = self.get_time()
        if now - self.reported_at < _REPORT_SECONDS:
            return
        self.reported_at = now
        log_event(
            StorageFailingEvent(
                self.node.group,
                str(error),
                to_milliseconds(now - self.failed_at),
            ),
        )
