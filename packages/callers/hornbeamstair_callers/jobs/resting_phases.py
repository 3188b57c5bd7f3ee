"""Tasks without a run that are ready according to the tables."""

from collections.abc import Iterator

from attrs import define

from hornbeamstair_callers.jobs.job import NO_WORKER, Job
from hornbeamstair_callers.jobs.ready import ReadyPhase, find_ready
from hornbeamstair_callers.jobs.resting import RestingReason, RestingTask
from hornbeamstair_callers.jobs.spare_places import SparePlaces, Supply
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_core.ids import ServiceName, TaskId
from hornbeamstair_core.moments import Moment

__all__ = ('RestingPhases',)


@define(eq=False)
class RestingPhases:
    """Compares the ready tasks of the tables with those that are placed."""

    jobs: JobTable
    waiting: WaitingJobs

    def find(self, places: SparePlaces, now: Moment) -> Iterator[RestingTask]:
        """Find the ready tasks for which there are resources."""
        for job in self.jobs.get_open():
            waiting = self.waiting.ready.get(job.spec.job)
            service = job.service if waiting is None else waiting.service
            # Otherwise the manifest sends the queue nowhere.
            if service is not None:
                phases = _get_phases(job, waiting, now.wall)
                for task, reason in self._find_in_job(
                    job, service, phases, places, now
                ):
                    yield RestingTask(task, reason, NO_WORKER, service)

    def _find_in_job(
        self,
        job: Job,
        service: ServiceName,
        phases: list[ReadyPhase],
        places: SparePlaces,
        now: Moment,
    ) -> Iterator[tuple[TaskId, RestingReason]]:
        for ready in phases:
            supply = places.find_supply(service, job.workspace, ready)
            yield from self._find_reasons(job, ready, supply, now)

    def _find_reasons(
        self,
        job: Job,
        ready: ReadyPhase,
        supply: Supply,
        now: Moment,
    ) -> Iterator[tuple[TaskId, RestingReason]]:
        in_flight = self.waiting.in_flight
        for recorded in ready.tasks:
            if recorded in in_flight:
                yield recorded, RestingReason.record
        if supply is Supply.missing:
            return
        waiting = self.waiting.ready.get(job.spec.job)
        indexed = frozenset(_get_indexed(waiting, ready))
        for task in ready.tasks:
            if task in indexed and task not in in_flight:
                yield task, _find_reason(job, ready, task, supply, now)
            elif task not in in_flight:
                yield task, RestingReason.unindexed


def _get_phases(
    job: Job,
    waiting: WaitingJob | None,
    wall: float,
) -> list[ReadyPhase]:
    """Get the ready phases; those that wait, if no other can be ready."""
    phases = [] if waiting is None else waiting.phases
    if job.spec.occurrences > 1:
        return find_ready(job, wall)
    accounted = sum(1 for task in job.tasks.values() if task.worker)
    accounted += sum(len(phase.tasks) for phase in phases)
    is_complete = accounted >= sum(_count_left(job))
    return phases if is_complete else find_ready(job, wall)


def _count_left(job: Job) -> Iterator[int]:
    """Count the tasks that are not done, for each phase that may start."""
    for number, phase in enumerate(job.spec.phases):
        if all(job.is_phase_done(0, before) for before in phase.after):
            yield phase.count - job.count_done(0, number)


def _get_indexed(
    waiting: WaitingJob | None,
    ready: ReadyPhase,
) -> Iterator[TaskId]:
    for phase in () if waiting is None else waiting.phases:
        if phase.phase_id == ready.phase_id:
            yield from phase.tasks


def _find_reason(
    job: Job,
    ready: ReadyPhase,
    task: TaskId,
    supply: Supply,
    now: Moment,
) -> RestingReason:
    history = job.crash_history
    members = ready.tasks if ready.phase.is_gang else (task,)
    if history.crashes and any(
        history.is_paused(member, now.wall) for member in members
    ):
        return RestingReason.paused
    if supply is Supply.unused:
        return RestingReason.unusable_workers
    return RestingReason.unplaced
