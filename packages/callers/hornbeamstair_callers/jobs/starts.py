"""Placement of waiting tasks and the records of their starts."""

from collections.abc import Iterator
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.places import (
    JobPlaces,
    may_try_next,
    update_members,
)
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_callers.jobs.records import RunStarted
from hornbeamstair_callers.jobs.run_event_log import RunEventLog
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_callers.workspaces.quotas import StartQuotas
from hornbeamstair_callers.workspaces.usage import ActiveRun
from hornbeamstair_core.ids import ServiceName, TaskId
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.index import WorkerIndex
from hornbeamstair_upstreams.work.isolation import Isolation
from hornbeamstair_upstreams.work.placement import Placement
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.stats import PlacementStats

__all__ = ('StartPlanner',)

# On a busy worker some run has always just started: a task that has to start
# apart from others waits no longer than this for a worker where none has.
_ISOLATION_WAIT_SECONDS: Final = 2.0


@define(eq=False)
class StartPlanner:
    """Places tasks and reserves their resources before the commit."""

    waiting: WaitingJobs
    run_event_log: RunEventLog
    stats: PlacementStats
    quotas: StartQuotas
    policies: SchedulingPolicies
    places: JobPlaces = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without any waits for places."""
        self.places = JobPlaces(
            self.waiting.jobs, self.waiting.manifest, self.policies
        )

    def make_placement(
        self,
        index: WorkerIndex,
        service: ServiceName,
        now: float,
    ) -> Placement:
        """Begin a placement pass over a service."""
        return Placement(
            index,
            service,
            now,
            self.stats,
            self.places.begin_pass(now, self.stats),
        )

    def place_job(
        self,
        waiting_job: WaitingJob,
        placement: Placement,
        now: Moment,
    ) -> Iterator[RunStarted]:
        """Place the ready tasks of a job for which there are resources."""
        unplaced: list[ReadyPhase] = []
        is_unchanged = True
        # Serving tasks would find their workers taken by backfill.
        for ready in sorted(waiting_job.phases, key=_fills):
            self.stats.asked += 1
            if placement.is_unplaceable(ready.phase.needs, ready.phase_id):
                unplaced.append(ready)
                continue
            is_unchanged = False
            job = waiting_job.job
            paused = _get_paused_tasks(job, ready, now)
            tasks = self._get_startable_tasks(job, ready, paused, now)
            placed = self._place_phase(job, ready, tasks, placement, now)
            remaining = (*_get_unplaced_tasks(tasks, placed), *paused)
            if remaining:
                unplaced.append(
                    ReadyPhase(
                        ready.key, ready.phase, ready.phase_id, remaining
                    ),
                )
            yield from placed
        if not is_unchanged:
            self.waiting.keep_unplaced(waiting_job.job.spec.job, unplaced)

    def _get_startable_tasks(
        self,
        job: Job,
        ready: ReadyPhase,
        paused: tuple[TaskId, ...],
        now: Moment,
    ) -> list[TaskId]:
        in_flight = self.waiting.in_flight
        tasks = [
            task
            for task in ready.tasks
            if task not in in_flight and task not in paused
        ]
        if ready.phase.is_gang and len(tasks) < ready.phase.count:
            # A gang starts as a whole.
            return []
        if job.crash_history.crashes:
            # The others do not wait for tasks that have to be isolated.
            tasks.sort(key=lambda task: job.get_isolation(task, now.wall))
        return tasks

    def _place_phase(
        self,
        job: Job,
        ready: ReadyPhase,
        tasks: list[TaskId],
        placement: Placement,
        now: Moment,
    ) -> list[RunStarted]:
        wait_seconds = self.waiting.get_wait_seconds(ready, now.wall)
        startable = self.quotas.count_startable(
            job.workspace, ready.phase, len(tasks)
        )
        chosen = self._choose_workers(
            job, ready, tasks[:startable], placement, now
        )
        if ready.phase.is_gang and len(chosen) < len(tasks):
            for reserved_session, run in chosen:
                placement.release_run(reserved_session, run)
            return []
        if chosen:
            self.run_event_log.add_placed(
                [(session.announced.worker, run) for session, run in chosen],
                wait_seconds,
                len(tasks) - len(chosen),
                now,
            )
        self.stats.placed += len(chosen)
        for _, run in chosen:
            self.quotas.reserve(
                run.task, ActiveRun(job.workspace, placement.service, run.needs)
            )
        placement.note_placed(
            ready.phase.needs,
            ready.phase_id,
            [session for session, _ in chosen],
        )
        return [self._make_record(*pair, now) for pair in chosen]

    def _choose_workers(
        self,
        job: Job,
        ready: ReadyPhase,
        tasks: list[TaskId],
        placement: Placement,
        now: Moment,
    ) -> list[tuple[WorkerSession, Run]]:
        wait_seconds = self.waiting.get_wait_seconds(ready, now.wall)
        wish = self.places.make_wish(job, ready, now.wall)
        chosen: list[tuple[WorkerSession, Run]] = []
        for task in tasks:
            isolation = _get_isolation(job, task, wait_seconds, now)
            session = placement.choose(
                ready.phase.needs,
                ready.phase_id,
                isolation=isolation,
                wish=wish,
            )
            if session is not None:
                run = _make_run(job, ready, task, now)
                run.isolation = isolation
                _add_run(job, session, run)
                chosen.append((session, run))
                update_members(wish, len(tasks) - len(chosen))
            elif not may_try_next(wish):
                break
        return chosen

    def _make_record(
        self,
        session: WorkerSession,
        run: Run,
        now: Moment,
    ) -> RunStarted:
        self.waiting.in_flight[run.task] = now.monotonic
        announced = session.announced
        return RunStarted(
            run.task,
            run.run,
            announced.worker,
            announced.incarnation,
            now.wall,
        )


def _add_run(job: Job, session: WorkerSession, run: Run) -> None:
    """Reserve the resources of a run."""
    check_invariant(
        job.get_task(run.task).may_start(run.run),
        'a task has one run at a time',
        f'{run.task} run {run.run}',
    )
    session.add_run(run)


def _get_unplaced_tasks(
    tasks: list[TaskId],
    placed: list[RunStarted],
) -> Iterator[TaskId]:
    started = {record.task for record in placed}
    return (task for task in tasks if task not in started)


def _get_paused_tasks(
    job: Job,
    ready: ReadyPhase,
    now: Moment,
) -> tuple[TaskId, ...]:
    """Get the tasks that wait to learn what became of their workers.

    A gang starts as a whole, or waits as a whole.
    """
    if not job.crash_history.crashes:
        return ()
    paused = tuple(
        task
        for task in ready.tasks
        if job.crash_history.is_paused(task, now.wall)
    )
    return ready.tasks if paused and ready.phase.is_gang else paused


def _get_isolation(
    job: Job,
    task: TaskId,
    wait_seconds: float,
    now: Moment,
) -> Isolation:
    """Get the isolation of a task; a pause is no wait for a worker."""
    isolation = job.get_isolation(task, now.wall)
    if isolation < Isolation.from_starts:
        return isolation
    own_seconds = job.crash_history.get_wait_seconds(task, now.wall)
    if min(wait_seconds, own_seconds) > _ISOLATION_WAIT_SECONDS:
        return Isolation.from_suspects
    return isolation


def _fills(ready: ReadyPhase) -> bool:
    return ready.phase.needs.fills


def _make_run(
    job: Job,
    ready: ReadyPhase,
    task: TaskId,
    now: Moment,
) -> Run:
    # The members of a gang share one run number.
    members = ready.tasks if ready.phase.is_gang else (task,)
    return Run(
        task,
        1 + max(job.get_task(member).run for member in members),
        ready.phase.needs,
        ready.phase_id,
        RunState.recorded,
        now.monotonic,
        _get_checkpoint(job, ready, task),
    )


def _get_checkpoint(job: Job, ready: ReadyPhase, task: TaskId) -> str:
    own = job.get_task(task).checkpoint
    if not ready.phase.is_gang:
        return own
    # All members start from the same checkpoint; any member may have it.
    saved = (job.get_task(member).checkpoint for member in ready.tasks)
    return next((checkpoint for checkpoint in saved if checkpoint), '')
