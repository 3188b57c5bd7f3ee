"""Tasks that rest for longer than the guarantees to callers allow."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.resting import RestingTask
from hornbeamstair_core.ids import TaskId
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('OverdueTasks',)

# A task may rest for the first span after its last run, and for the second
# one while there are resources for it.
_GRACE_SECONDS: Final = 6.0
_LOST_SECONDS: Final = 3.0
# Ends of runs that had certainly started.
_STARTED_ENDS: Final = frozenset((RunEnd.done, RunEnd.failed))


@define(eq=False)
class OverdueTasks:
    """Resting tasks by the time since which they rest.

    Times are those of this leader: a new one counts from its start.
    """

    # Monotonic seconds.
    since: dict[TaskId, float] = field(factory=dict, init=False)

    def handle_end(self, task: TaskId, end: RunEnd) -> None:
        """Count anew from the end of a run."""
        if end in _STARTED_ENDS:
            self.since.pop(task, None)

    def update(
        self,
        resting: Iterable[RestingTask],
        now: Moment,
    ) -> list[RestingTask]:
        """Replace the resting tasks, and return those that are overdue."""
        latest = now.monotonic - _GRACE_SECONDS - _LOST_SECONDS
        since: dict[TaskId, float] = {}
        overdue: list[RestingTask] = []
        for task in resting:
            start = self.since.get(task.task, now.monotonic)
            since[task.task] = start
            if start <= latest:
                overdue.append(task)
        self.since = since
        return overdue
