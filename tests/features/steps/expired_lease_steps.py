"""Steps on workers that are silent until the leases of their runs expire."""

from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import RunEnd
from tests.support.logs import read_log
from tests.support.work_model import (
    ModelWorker,
    WorkModel,
    make_phase,
    make_worker_announcement,
    pause_leader,
    replace_worker,
)

# Apart from the jobs that other steps accept.
FIRST_LONG_RUNNING = 2000
# Longer than the cuts and the pauses of a task between them.
MAX_STEPS = 2000


@when(
    'all workers are cut off for {cut:g} seconds each {period:g} seconds, '
    '{count:d} times'
)
def cut_in_series(context: Any, cut: float, period: float, count: int) -> None:
    """Cut off all workers again and again."""
    work = context.work
    for _ in range(count):
        for cut_worker in work.workers.values():
            cut_worker.is_partitioned = True
        work.run(cut)
        for joined_worker in work.workers.values():
            joined_worker.is_partitioned = False
        work.run(period - cut)


@when(
    'the leader is paused for {pause:g} seconds each {period:g} seconds, '
    '{count:d} times'
)
def pause_again(context: Any, pause: float, period: float, count: int) -> None:
    """Let time pass for the workers alone, again and again."""
    work = context.work
    for _ in range(count):
        pause_leader(work, pause)
        work.run(period - pause)


@when('{count:d} jobs of {tasks:d} long-running tasks are accepted')
def accept_long_running(context: Any, count: int, tasks: int) -> None:
    """Accept long-running jobs."""
    for number in range(FIRST_LONG_RUNNING, FIRST_LONG_RUNNING + count):
        phase = make_phase(tasks, 3000, lasts=True)
        context.work.accept(JobId(f'{number:016x}'), (phase,))


@when(
    'the worker of its first task is cut off {delay:g} seconds after each '
    'start for {cut:g} seconds, {count:d} times'
)
def cut_first(context: Any, delay: float, cut: float, count: int) -> None:
    """Cut off the worker of the first task after each of its starts."""
    work = context.work
    task = TaskId(f'{"1" * 16}.0.0.0')
    joins_at: dict[str, float] = {}
    for _ in range(MAX_STEPS):
        worker = _find_reachable(work, task)
        if worker is not None and len(joins_at) < count:
            work.run(delay)
            worker.is_partitioned = True
            joins_at[worker.worker] = work.now + cut
        work.step()
        _join(work, joins_at)


@then('no job has failed')
def check_no_failure(context: Any) -> None:
    """Check the states of all jobs."""
    jobs = context.work.tables.jobs.jobs.values()
    failed = [job.spec.job for job in jobs if job.state == JobState.failed]
    assert not failed, failed


def _find_reachable(work: WorkModel, task: TaskId) -> ModelWorker | None:
    for worker in work.workers.values():
        if task in worker.runs and not worker.is_partitioned:
            return worker
    return None


def _join(work: WorkModel, joins_at: dict[str, float]) -> None:
    for worker in work.workers.values():
        if joins_at.get(worker.worker, work.now) <= work.now:
            worker.is_partitioned = False


@given('crashed workers are down for {seconds:g} seconds')
def set_down_time(context: Any, seconds: float) -> None:
    """Set the time after which crashed workers return."""
    context.work.down_seconds = seconds


@given('tasks run for {shortest:g} to {longest:g} seconds')
def set_durations(context: Any, shortest: float, longest: float) -> None:
    """Set the duration of runs that end by themselves."""
    context.work.short_seconds = shortest, longest


@when(
    'the leader changes after each of its expired leases for {seconds:d} '
    'seconds'
)
def change_after_expiry(context: Any, seconds: int) -> None:
    """Change the leader once the end of a deadly run is recorded."""
    work = context.work
    end = work.now + seconds
    while work.now < end:
        count = _count_expired(work)
        work.step()
        if _count_expired(work) > count:
            work.change_leader()


@when(
    'its worker falls silent until a lease expires, then is {planned} and '
    'replaced, {count:d} times'
)
def replace_as_planned(context: Any, planned: str, count: int) -> None:
    """Replace the worker of the first task as planned after its silence."""
    work = context.work
    for _ in range(count):
        worker = _fall_silent(work)
        session = work.scheduler.sessions[worker.worker]
        if planned == 'withdrawn':
            work.scheduler.handle_withdrawal(worker.worker, work.get_moment())
        else:
            session.announced = evolve(session.announced, is_leaving=True)
        work.run(0.5)
        replace_worker(work, worker.worker)
        worker.is_partitioned = False


@when(
    'its worker falls silent until a lease expires, then is contradicted by '
    'announcements, {count:d} times'
)
def contradict(context: Any, count: int) -> None:
    """Announce workers that nobody runs at the address of a silent worker."""
    work = context.work
    for number in range(count):
        worker = _fall_silent(work)
        forged = evolve(
            make_worker_announcement(WorkerId(f'forged{number}'), 1000),
            port=worker.port,
        )
        work.scheduler.handle_announcement(forged, work.get_moment())
        work.run(1)
        worker.is_partitioned = False


@then('the first task was started {count:d} times')
def check_starts_of_first(context: Any, count: int) -> None:
    """Check the starts of the deadly task."""
    starts = context.work.starts_by_task[context.work.deadly.copy().pop()]
    assert starts == count, starts


@then(
    'its log shows the expired leases of the first task, their explanations '
    'and the job given up'
)
def check_log(context: Any) -> None:
    """Check that each counted crash was expired first and then explained."""
    task = context.work.deadly.copy().pop()
    lines = read_log(context)
    expired = {
        row['worker']
        for line in lines
        if line['event'] == 'runs_ended'
        for row in line['runs']
        if row['task'] == task and row['proof'] == 'lease_expired'
    }
    explained = {
        line['worker']
        for line in lines
        if line['event'] == 'silence_explained'
        and line['verdict'] == 'worker_died'
    }
    given_up = next(line for line in lines if line['event'] == 'job_given_up')
    confirmed = {
        crash['worker']
        for crash in given_up['crashes']
        if crash['is_confirmed']
    }
    assert len(confirmed) >= 3, given_up
    assert confirmed <= expired & explained, (expired, explained)


def _count_expired(work: WorkModel) -> int:
    return sum(
        record.end == RunEnd.expired and record.task in work.deadly
        for record in work.ends
    )


def _fall_silent(work: WorkModel) -> ModelWorker:
    """Cut off the worker of the first task until its lease has expired."""
    task = TaskId(f'{1:016x}.0.0.0')
    for _ in range(1000):
        for worker in work.workers.values():
            if task in worker.runs:
                worker.is_partitioned = True
                work.run(5)
                return worker
        work.step()
    raise AssertionError(f'{task} is not started')
