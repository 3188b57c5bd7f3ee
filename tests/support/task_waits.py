"""Check that no task of the model waits for longer than users are told."""

from attrs import define, field

from hornbeamstair_callers.jobs.job import NO_WORKER, Job
from hornbeamstair_callers.jobs.ready import ReadyPhase, find_ready
from hornbeamstair_core.ids import TaskId
from tests.support.work_model import ModelWorker, WorkModel

# Users count a task as lost that does not run, with resources for it during
# the second span, when both have passed since its last run.
GRACE_SECONDS = 6.0
LOST_SECONDS = 3.0
# Calm that precedes the second span.
CALM_SECONDS = 4.0
# Resources that have to be free, as a multiple of those that are needed.
FREE_FACTOR = 2


@define(eq=False)
class TaskWaits:
    """Tasks that do not run anywhere, by the time since which they wait."""

    model: WorkModel
    since: dict[TaskId, float] = field(factory=dict, init=False)
    placeable_since: dict[TaskId, float] = field(factory=dict, init=False)
    checked: int = field(default=0, init=False)

    def observe(self, calm_since: float) -> None:
        """Fail if a task waits; `calm_since` is the time of the last fault."""
        model = self.model
        running = {
            task for worker in model.workers.values() for task in worker.runs
        }
        phases = [
            ready
            for job in model.tables.jobs.get_open()
            for ready in find_due_phases(model, job)
        ]
        waiting = {
            task: ready
            for ready in phases
            for task in ready.tasks
            if task not in running
        }
        now = model.now
        self.since = {task: self.since.get(task, now) for task in waiting}
        self.placeable_since = {
            task: self.placeable_since.get(task, now)
            for task, ready in waiting.items()
            if has_room(model, ready)
        }
        for task, start in self.placeable_since.items():
            due = max(
                self.since[task] + GRACE_SECONDS + LOST_SECONDS,
                start + LOST_SECONDS,
                calm_since + CALM_SECONDS + LOST_SECONDS,
            )
            self.checked += 1
            waited = now - self.since[task]
            assert now <= due, f'{task} has waited for {waited:.1f} s'


def find_due_phases(model: WorkModel, job: Job) -> list[ReadyPhase]:
    """Find the phases whose turn has come, with all tasks not done."""
    held = {task: state.worker for task, state in job.tasks.items()}
    for state in job.tasks.values():
        state.worker = NO_WORKER
    phases = find_ready(job, model.now)
    for task, worker in held.items():
        job.tasks[task].worker = worker
    return phases


def has_room(model: WorkModel, ready: ReadyPhase) -> bool:
    """Return whether sound workers have room for a task twice over."""
    needs = ready.phase.needs
    cpu = model.get_cpu(ready.tasks[0])
    places = sum(
        get_places(worker, ready, cpu)
        for worker in model.workers.values()
        if not worker.is_partitioned
        and (not needs.label or needs.label in worker.labels)
    )
    return places >= FREE_FACTOR


def get_places(worker: ModelWorker, ready: ReadyPhase, cpu: int) -> int:
    """Count the further tasks of a phase that a worker has room for."""
    used = sum(run.cpu for run in worker.runs.values())
    places = (worker.room.cpu - used) // cpu
    limit = ready.phase.needs.spread_limit
    if not limit:
        return places
    prefix = f'{ready.phase_id}.'
    own = sum(task.startswith(prefix) for task in worker.runs)
    return min(places, limit - own)
