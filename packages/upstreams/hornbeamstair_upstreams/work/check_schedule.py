"""Schedule of the checks of workers for expired leases and due retries."""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from typing import Final

from attrs import define, field

from hornbeamstair_core.step_failures import log_step_failure
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('CheckSchedule',)

# Bounds the load of a check that fails each time.
_REPEAT_SECONDS: Final = 0.25


@define(eq=False)
class CheckSchedule:
    """Times at which workers are due for a check, earliest first."""

    queue: list[tuple[float, int, WorkerSession]] = field(factory=list)
    # Time of the next check of each worker; earlier entries are outdated.
    due_at: dict[WorkerSession, float] = field(factory=dict)
    # Makes entries of the same time comparable.
    last_number: int = 0

    def add(self, session: WorkerSession, at: float) -> None:
        """Schedule a check, unless an earlier one is scheduled."""
        if at < self.due_at.get(session, float('inf')):
            self.due_at[session] = at
            self.last_number += 1
            heappush(self.queue, (at, self.last_number, session))

    def remove(self, session: WorkerSession) -> None:
        """Remove a worker."""
        self.due_at.pop(session, None)

    def check_due(
        self,
        now: float,
        check: Callable[[WorkerSession], None],
    ) -> None:
        """Check the workers that are due; a failed check is repeated."""
        for session in list(self._pop_due(now)):
            try:
                check(session)
            except Exception as error:
                log_step_failure('checks of workers', error)
                self.add(session, now + _REPEAT_SECONDS)

    def _pop_due(self, now: float) -> Iterator[WorkerSession]:
        while self.queue and self.queue[0][0] <= now:
            at, _, session = heappop(self.queue)
            if self.due_at.get(session) == at:
                self.due_at.pop(session)
                yield session
