"""Steps on tasks that crash the workers that start them."""

from typing import Any

from attrs import evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_callers.jobs.records import RunEnded, RunStarted
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import RunEnd
from tests.support.work_model import STEP_SECONDS, crash_worker, make_phase

# Apart from the jobs that other steps accept.
FIRST_DEADLY = 1000
GONE = WorkerId('gone')


@given('crashed workers return under {names} names')
def set_names(context: Any, names: str) -> None:
    """Set whether a crashed worker keeps its name."""
    context.work.keeps_names = names == 'old'


@when(
    'a job of {tasks:d} {kind} tasks is accepted '
    'whose first one crashes its workers'
)
def accept_deadly(context: Any, tasks: int, kind: str) -> None:
    """Accept a job with one deadly task."""
    phase = make_phase(tasks, 1000, lasts=kind == 'long-running')
    _accept_deadly(context, FIRST_DEADLY, phase)


@when(
    '{deadly:d} deadly jobs and {count:d} jobs of {phases:d} phases '
    'with {tasks:d} tasks each come'
)
def accept_mixed(
    context: Any, deadly: int, count: int, phases: int, tasks: int
) -> None:
    """Accept deadly jobs among others."""
    for number in range(deadly):
        _accept_deadly(context, FIRST_DEADLY + number, make_phase(2, 1000))
    context.execute_steps(
        f'when {count} jobs of {phases} phases with {tasks} tasks each '
        'are accepted'
    )


@given('deadly tasks crash their worker after {seconds:g} seconds')
def set_delay(context: Any, seconds: float) -> None:
    """Set the time for which a deadly task runs."""
    context.work.deadly_seconds = seconds


@when(
    'each worker is reachable for {up_from:g} to {up_to:g} and cut off '
    'for {cut_from:g} to {cut_to:g} seconds in turn'
)
def set_cuts(
    context: Any, up_from: float, up_to: float, cut_from: float, cut_to: float
) -> None:
    """Set the times of the cuts that the next step plays."""
    context.spans = {False: (up_from, up_to), True: (cut_from, cut_to)}


@when(
    'a job of {tasks:d} tasks comes each {pause:d} seconds meanwhile, '
    '{count:d} times'
)
def cut_workers(context: Any, tasks: int, pause: int, count: int) -> None:
    """Cut off and reconnect the workers while jobs come."""
    work = context.work
    work.run(1)
    due = dict.fromkeys(work.workers.values(), work.now)
    for number in range(1, count + 1):
        work.accept(JobId(f'{number:016x}'), (make_phase(tasks, 3000),))
        end = work.now + pause
        while work.now < end:
            for worker in due:
                if work.now >= due[worker]:
                    worker.is_partitioned = not worker.is_partitioned
                    span = context.spans[worker.is_partitioned]
                    due[worker] = work.now + work.rng.uniform(*span)
            work.step()
    for cut_worker in due:
        cut_worker.is_partitioned = False


@when('{count:d} short tasks come each second for {seconds:d} seconds')
def load_workers(context: Any, count: int, seconds: int) -> None:
    """Keep the workers busy with tasks of less than half a second."""
    work = context.work
    work.short_seconds = 0.3, 0.6
    steps = round(seconds / STEP_SECONDS)
    for number in range(1, steps + 1):
        for index in range(round(count * STEP_SECONDS)):
            job = JobId(f'{round(work.now * 1000):x}-{number}-{index}')
            work.accept(job, (make_phase(1, 2000),))
        work.step()


@when('a task comes under which {count:d} workers have crashed')
def accept_suspect(context: Any, count: int) -> None:
    """Accept a job and record crashes under its task."""
    work = context.work
    job = _get_job(FIRST_DEADLY)
    work.accept(job, (make_phase(1, 1000),))
    context.suspect = TaskId(f'{job}.0.0.0')
    for run in range(1, count + 1):
        started = RunStarted(context.suspect, run, GONE, 1, work.now)
        ended = RunEnded(context.suspect, run, RunEnd.crashed, '', work.now)
        work.apply((started, ended))


@then('the task has started')
def check_started(context: Any) -> None:
    """Check that a worker has executed a start of the task."""
    assert context.work.starts_by_task[context.suspect]


@when('the leader changes every {pause:g} seconds for {seconds:d} seconds')
def change_leaders(context: Any, pause: float, seconds: int) -> None:
    """Replace the leader again and again."""
    for _ in range(int(seconds / pause)):
        context.work.run(pause)
        context.work.change_leader()


@when(
    'a worker crashes each second while a job comes each second, '
    '{count:d} times'
)
def crash_workers(context: Any, count: int) -> None:
    """Crash the busiest worker each second, two at a time at most."""
    work = context.work
    for number in range(1, count + 1):
        work.accept(JobId(f'{number:016x}'), (make_phase(5, 3000),))
        work.run(1)
        up = [
            worker
            for worker in work.workers.values()
            if not worker.is_partitioned
        ]
        if len(work.down) < 2:
            crash_worker(work, max(up, key=_count_runs))


@when(
    'the worker of its first task is {planned} just before its end, '
    '{count:d} times'
)
def end_as_planned(context: Any, planned: str, count: int) -> None:
    """End the worker as planned right after the first task started there."""
    work = context.work
    task = TaskId(f'{1:016x}.0.0.0')
    for _ in range(count):
        _run_until_started(work, task)
        worker = next(
            found for found in work.workers.values() if task in found.runs
        )
        session = work.scheduler.sessions[worker.worker]
        if planned == 'withdrawn':
            work.scheduler.handle_withdrawal(worker.worker, work.get_moment())
        session.is_reserved = planned == 'reserved'
        if planned == 'leaving':
            session.announced = evolve(session.announced, is_leaving=True)
        crash_worker(work, worker)


@then('no crash was counted')
def check_no_crash(context: Any) -> None:
    """Check the ends that were recorded."""
    ends = {record.end for record in context.work.ends}
    assert RunEnd.crashed not in ends, ends


@then('the job of the first task has failed after at most {count:d} crashes')
def check_given_up(context: Any, count: int) -> None:
    """Check the state of the job and the crashed workers."""
    work = context.work
    job = work.tables.jobs.jobs[_get_job(FIRST_DEADLY)]
    assert job.state == JobState.failed, job.state
    crashes = work.crashes[TaskId(f'{job.spec.job}.0.0.0')]
    assert crashes <= count, crashes


@then('every other job is completed')
def check_others(context: Any) -> None:
    """Check the jobs without a deadly task."""
    deadly = {task.partition('.')[0] for task in context.work.deadly}
    states = {
        name: job.state
        for name, job in context.work.tables.jobs.jobs.items()
        if name not in deadly
    }
    assert set(states.values()) == {JobState.completed}, states


@then('no other task was started more than {count:d} times')
def check_starts(context: Any, count: int) -> None:
    """Check the starts of the tasks of jobs without a deadly one."""
    deadly = {task.partition('.')[0] for task in context.work.deadly}
    starts = {
        task: count
        for task, count in context.work.starts_by_task.items()
        if task.partition('.')[0] not in deadly
    }
    assert max(starts.values()) <= count, starts


def _accept_deadly(context: Any, number: int, phase: Any) -> None:
    job = _get_job(number)
    context.work.deadly.add(TaskId(f'{job}.0.0.0'))
    context.work.accept(job, (phase,))


def _get_job(number: int) -> JobId:
    return JobId(f'{number:016x}')


def _count_runs(worker: Any) -> int:
    return len(worker.runs)


def _run_until_started(work: Any, task: TaskId) -> None:
    for _ in range(400):
        if any(task in worker.runs for worker in work.workers.values()):
            return
        work.step()
    raise AssertionError(f'{task} is not started')
