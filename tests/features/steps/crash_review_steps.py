"""Steps on the proofs that silent workers have crashed or survived."""

from typing import Any

from attrs import evolve
from behave import then, when

from hornbeamstair_callers.jobs.records import (
    JobCancelled,
    JobsForgotten,
    RunEnded,
    RunStarted,
)
from hornbeamstair_callers.jobs.worker_records import WorkerDied
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.isolation import Isolation
from hornbeamstair_upstreams.work.messages import RunEnd
from hornbeamstair_upstreams.work.runs import RunState
from tests.support.work_model import (
    ModelWorker,
    WorkModel,
    make_phase,
    make_worker_announcement,
    poll_worker,
    replace_worker,
)

# Apart from the jobs that other steps accept.
FIRST_REVIEWED = 3000
LOST = WorkerId('lost')
# Longer than the pauses of a task.
MAX_STEPS = 2000


@when(
    'a task comes under which a worker {end} {seconds:d} seconds before '
    'another one'
)
def accept_old_crash(context: Any, end: str, seconds: int) -> None:
    """Accept a job whose first crash is too old when the second one comes."""
    work = context.work
    task = _accept_task(context)
    at = work.now - seconds
    _lose(work, task, 1, RunEnd[end], at)
    _lose(work, task, 2, RunEnd.crashed, work.now)


@when('its job is cancelled and forgotten')
def forget_job(context: Any) -> None:
    """End and forget the job of the task."""
    job = JobId(context.suspect.partition('.')[0])
    context.work.apply((JobCancelled(job, context.work.now),))
    context.work.apply((JobsForgotten((job,)),))


@when('another life of the first worker is recorded')
def record_death(context: Any) -> None:
    """Record that the first lost worker has gone down."""
    context.work.apply((WorkerDied(_name_lost(1), 1),))


@then('no worker is lost under a job')
def check_none_lost(context: Any) -> None:
    """Check the index of lost workers."""
    lost = context.work.tables.jobs.lost_workers.workers
    assert not lost, lost


@then('a worker is lost under a job')
def check_lost(context: Any) -> None:
    """Check that a crash still counts."""
    assert context.work.tables.jobs.lost_workers.workers


@when('a task comes under which {count:d} workers have fallen silent')
def accept_silent(context: Any, count: int) -> None:
    """Accept a job and record expired leases under its task."""
    _accept_silent(context, count, 0)


@when(
    'a task comes under which {count:d} workers have fallen silent '
    '{ahead:d} seconds ahead'
)
def accept_silent_ahead(context: Any, count: int, ahead: int) -> None:
    """Record expired leases by a clock that has been set back since."""
    _accept_silent(context, count, ahead)


@then('the task has started apart from other starts')
def check_isolation(context: Any) -> None:
    """Check the isolation of the run of the task."""
    for session in context.work.scheduler.sessions.values():
        run = session.runs.get(context.suspect)
        if run is not None:
            assert run.isolation == Isolation.from_starts, run.isolation
            return
    raise AssertionError(f'{context.suspect} is not started')


@when(
    'its worker falls silent after each start, {count:d} times, and each '
    'worker restarts just before an order to start'
)
def start_on_next_life(context: Any, count: int) -> None:
    """Restart each worker between the record and the order of a start."""
    work = context.work
    task = TaskId(f'{"1" * 16}.0.0.0')
    silent: list[ModelWorker] = []
    for _ in range(count):
        worker = _find_worker(work, task)
        worker.is_partitioned = True
        silent.append(worker)
        _restart_chosen(work, task)
    work.run(1)
    for returning in silent:
        returning.is_partitioned = False


@when(
    'its worker falls silent until a lease expires, is {planned} and returns '
    'under {names} names after {seconds:g} seconds'
)
def end_silent_worker(
    context: Any, planned: str, names: str, seconds: float
) -> None:
    """End the silent worker of the first task as planned."""
    work = context.work
    worker = _find_worker(work, TaskId(f'{1:016x}.0.0.0'))
    worker.is_partitioned = True
    work.run(5)
    session = work.scheduler.sessions[worker.worker]
    if planned == 'withdrawn':
        work.scheduler.handle_withdrawal(worker.worker, work.get_moment())
    session.announced = evolve(
        session.announced, is_leaving=planned == 'leaving'
    )
    session.is_reserved = planned == 'maintained'
    work.run(seconds)
    if names == 'old':
        worker.crash(work.now)
    else:
        replace_worker(work, worker.worker)
    worker.is_partitioned = False


@then('no crash is confirmed')
def check_unconfirmed(context: Any) -> None:
    """Check the crashes of the open jobs."""
    lost = context.work.tables.jobs.lost_workers.workers
    assert not any(worker.is_confirmed for worker in lost.values()), lost


@when(
    'its worker falls silent until a lease expires, and an older answer to a '
    'poll arrives'
)
def delay_answer(context: Any) -> None:
    """Deliver the answer to a poll after the lease has expired."""
    work = context.work
    worker = _find_worker(work, TaskId(f'{"1" * 16}.0.0.0'))
    session = work.scheduler.sessions[worker.worker]
    sent_at = work.now
    answer = poll_worker(work, session.make_poll(sent_at))
    worker.is_partitioned = True
    work.run(5)
    moment = work.get_moment()
    work.scheduler.handle_poll(session, answer, sent_at, moment)


def _accept_task(context: Any) -> TaskId:
    job = JobId(f'{FIRST_REVIEWED:016x}')
    context.work.accept(job, (make_phase(1, 1000),))
    context.suspect = TaskId(f'{job}.0.0.0')
    return TaskId(context.suspect)


def _accept_silent(context: Any, count: int, ahead: int) -> None:
    work = context.work
    task = _accept_task(context)
    work.short_seconds = 100, 100
    for run in range(1, count + 1):
        _lose(work, task, run, RunEnd.expired, work.now + ahead)


def _lose(
    work: WorkModel, task: TaskId, run: int, end: RunEnd, at: float
) -> None:
    started = RunStarted(task, run, _name_lost(run), 1, at)
    work.apply((started, RunEnded(task, run, end, '', at)))


def _name_lost(number: int) -> WorkerId:
    return WorkerId(f'{LOST}{number}')


def _find_worker(work: WorkModel, task: TaskId) -> ModelWorker:
    for _ in range(MAX_STEPS):
        for worker in work.workers.values():
            if task in worker.runs and not worker.is_partitioned:
                return worker
        work.step()
    raise AssertionError(f'{task} is not started')


def _restart_chosen(work: WorkModel, task: TaskId) -> None:
    """Restart the worker that a start is recorded for, before its order."""
    for _ in range(MAX_STEPS):
        for name, session in work.scheduler.sessions.items():
            run = session.runs.get(task)
            if run is not None and run.state == RunState.recorded:
                worker = work.workers[name]
                worker.crash(work.now)
                worker.is_unannounced = True
                work.poll_seconds = MAX_STEPS
                work.step()
                work.poll_seconds = 0
                worker.is_unannounced = False
                return
        work.step()
    raise AssertionError(f'{task} is not placed')


@when('its worker is silent until a lease expires, and then {seen}')
def show_proof(context: Any, seen: str) -> None:
    """Show one proof of what became of the worker of the first task."""
    work = context.work
    worker = _find_worker(work, TaskId(f'{"1" * 16}.0.0.0'))
    worker.is_partitioned = True
    work.run(5)
    if seen.startswith('is announced'):
        announced = evolve(
            make_worker_announcement(WorkerId('forged'), 1000), port=worker.port
        )
        work.poll_seconds = MAX_STEPS
        work.scheduler.handle_announcement(announced, work.get_moment())
        return
    if seen.startswith('another'):
        worker.is_unannounced = True
        replace_worker(work, worker.worker)
    else:
        worker.crash(work.now)
        worker.port += len(work.workers)
    worker.is_partitioned = False
    if seen.endswith('lost'):
        work.run(1)
        _lose_explanation(work)


@then('{count:d} lost worker is confirmed')
def check_confirmed(context: Any, count: int) -> None:
    """Check how many workers are known to have gone down."""
    lost = context.work.tables.jobs.lost_workers.workers
    confirmed = [life for life in lost if lost[life].is_confirmed]
    assert len(confirmed) == count, lost


def _lose_explanation(work: WorkModel) -> None:
    """Undo the record of an explanation, as if it had been refused."""
    for lost in work.tables.jobs.lost_workers.workers.values():
        assert lost.is_confirmed
        lost.is_confirmed = False
