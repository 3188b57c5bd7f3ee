"""Event log of tasks that are to run and have rested for too long."""

from collections import Counter
from collections.abc import Mapping
from heapq import nsmallest
from itertools import chain
from typing import Any, Final

from attrs import define, field

from hornbeamstair_callers.jobs.events import TasksOverdueEvent
from hornbeamstair_callers.jobs.overdue_tasks import OverdueTasks
from hornbeamstair_callers.jobs.resting import RestingTask
from hornbeamstair_callers.jobs.resting_phases import RestingPhases
from hornbeamstair_callers.jobs.resting_runs import RestingRuns
from hornbeamstair_callers.jobs.spare_places import SparePlaces
from hornbeamstair_callers.workspaces.quotas import StartQuotas
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import TaskId
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.messages import RunEnd

__all__ = ('OverdueEventLog',)

# Each line costs a pass over all open jobs.
_INTERVAL_SECONDS: Final = 1.0
_MAX_TASKS_PER_LINE: Final = 20


@define(eq=False)
class OverdueEventLog:
    """Logs the tasks that a leader does not get to run."""

    fencing_token: int
    runs: RestingRuns
    phases: RestingPhases
    quotas: StartQuotas
    overdue: OverdueTasks = field(factory=OverdueTasks, init=False)
    # Tasks that were overdue at the last look.
    count: int = field(default=0, init=False)
    logged_at: float = field(default=-_INTERVAL_SECONDS, init=False)

    def handle_end(self, task: TaskId, end: RunEnd) -> None:
        """Count a task anew whose run has ended."""
        self.overdue.handle_end(task, end)

    def log_due(self, now: Moment) -> None:
        """Log the overdue tasks if the interval has passed."""
        if now.monotonic - self.logged_at < _INTERVAL_SECONDS:
            return
        self.logged_at = now.monotonic
        places = SparePlaces.make(
            self.runs.sessions.values(), self.quotas, now.monotonic
        )
        resting = chain(self.runs.find(now), self.phases.find(places, now))
        tasks = self.overdue.update(resting, now)
        self.count = len(tasks)
        if tasks:
            log_event(self._make_event(tasks, places, now))

    def _make_event(
        self,
        tasks: list[RestingTask],
        places: SparePlaces,
        now: Moment,
    ) -> TasksOverdueEvent:
        since = self.overdue.since
        oldest = nsmallest(
            _MAX_TASKS_PER_LINE, tasks, key=lambda task: since[task.task]
        )
        age = now.monotonic - since[oldest[0].task]
        return TasksOverdueEvent(
            self.fencing_token,
            len(tasks),
            to_milliseconds(age),
            dict(Counter(task.reason.value for task in tasks)),
            tuple(self._describe(task, now) for task in oldest),
            places.count_obstacles({task.service for task in tasks}),
        )

    def _describe(self, task: RestingTask, now: Moment) -> Mapping[str, Any]:
        in_flight = self.runs.waiting.in_flight
        recorded_at = in_flight.get(task.task, now.monotonic)
        age = now.monotonic - self.overdue.since[task.task]
        return {
            'task': task.task,
            'reason': task.reason.value,
            'worker': task.worker,
            'age_ms': to_milliseconds(age),
            'record_ms': to_milliseconds(now.monotonic - recorded_at),
        }
