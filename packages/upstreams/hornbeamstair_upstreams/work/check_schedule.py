"""Schedule of the checks of workers for expired leases and due retries."""

from collections import deque
from collections.abc import Callable, Iterator
from heapq import heappop, heappush

from attrs import define, field

from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('CheckSchedule',)


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
        """Check the workers that are due.

        If a check fails, its worker and those after it stay due.
        """
        due = deque(self._pop_due(now))
        try:
            while due:
                check(due[0])
                due.popleft()
        finally:
            # The worker whose check failed comes last.
            for session in reversed(due):
                self.add(session, now)

    def _pop_due(self, now: float) -> Iterator[WorkerSession]:
        while self.queue and self.queue[0][0] <= now:
            at, _, session = heappop(self.queue)
            if self.due_at.get(session) == at:
                self.due_at.pop(session)
                yield session
