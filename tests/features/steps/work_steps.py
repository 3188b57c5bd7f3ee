"""Steps with the modelled workers."""

from collections.abc import Iterable
from random import Random
from typing import Any

from attrs import evolve
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_callers.jobs.evacuation import free_workers
from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_callers.jobs.records import RunStarted
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import WorkerGone
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.random_plays import RandomPlay
from tests.support.random_work import WorkMachine, get_work_settings
from tests.support.work_model import (
    QUEUE,
    WorkModel,
    count_at_work,
    make_announced,
    make_phase,
    replace_worker,
)

# A task that is free again is started sooner, and goes on for longer.
LATE_SECONDS = 0.3
ENDED = frozenset((JobState.completed, JobState.failed))


@given('a work model with seed {seed:d} and no faults')
def start_model(context: Any, seed: int) -> None:
    """Start a model in which everything is answered."""
    context.work = WorkModel(
        Random(seed),
        lost_share=0,
        late_share=0,
        fail_share=0,
    )


@given('a work model with seed {seed:d}, {count:d} workers and no faults')
def start_wide_model(context: Any, seed: int, count: int) -> None:
    """Start a model of more workers."""
    context.work = WorkModel(
        Random(seed),
        worker_count=count,
        lost_share=0,
        late_share=0,
        fail_share=0,
    )


@given(
    'a work model with seed {seed:d} in which a third of the answers is lost',
)
def start_lossy(context: Any, seed: int) -> None:
    """Start a model that loses answers."""
    context.work = WorkModel(Random(seed), lost_share=0.33, late_share=0)


@given('a work model with seed {seed:d} in which a third of the starts is late')
def start_late(context: Any, seed: int) -> None:
    """Start a model that carries starts out late."""
    context.work = WorkModel(Random(seed), lost_share=0, late_share=0.33)


@given('a work model with seed {seed:d} in which starts are late or refused')
def start_refusing(context: Any, seed: int) -> None:
    """Start a model in which workers turn starts away as well."""
    context.work = WorkModel(
        Random(seed),
        lost_share=0,
        late_share=0.3,
        refuse_share=0.3,
    )


@given('the work machine with {examples:d} examples')
def prepare_machine(context: Any, examples: int) -> None:
    """Prepare the machine of random faults."""
    context.examples = examples


@when('a job of {phases:d} phases with {tasks:d} tasks each is accepted')
def accept_job(context: Any, phases: int, tasks: int) -> None:
    """Accept one job."""
    accept_jobs(context, 1, phases, tasks)


@when(
    '{count:d} jobs of {phases:d} phases with {tasks:d} tasks each are accepted'
)
def accept_jobs(context: Any, count: int, phases: int, tasks: int) -> None:
    """Accept jobs whose phases follow each other."""
    for number in range(1, count + 1):
        made = [make_phase(tasks, 3000)]
        made.extend(
            make_phase(tasks, 3000, (before,)) for before in range(phases - 1)
        )
        context.work.accept(JobId(f'{number:016x}'), tuple(made))


@when('every worker is cut off as a job of {tasks:d} tasks is accepted')
def accept_behind_cut(context: Any, tasks: int) -> None:
    """Accept a job when no worker can be reached any more."""
    for worker in context.work.workers.values():
        worker.is_cut = True
    accept_job(context, 1, tasks)


@when('every worker is in reach again')
def mend_cuts(context: Any) -> None:
    """End all cuts."""
    for worker in context.work.workers.values():
        worker.is_cut = False


@then('a start of the job is recorded')
def check_recorded(context: Any) -> None:
    """Check that the log holds a run."""
    table = context.work.scheduler.state.jobs
    found = next(table.get_open())
    assert any(task.run for task in found.tasks.values())


@then('{count:d} jobs are pending')
def check_pending(context: Any, count: int) -> None:
    """Check the count that callers get."""
    assert context.work.scheduler.unstarted.count(QUEUE) == count


@when('a job of {tasks:d} tasks that last is accepted')
def accept_lasting(context: Any, tasks: int) -> None:
    """Accept a job that runs until it is cancelled."""
    phase = make_phase(tasks, 1000, lasts=True)
    context.work.accept(JobId('1' * 16), (phase,))


@when('a job of {tasks:d} steady tasks of which {away:d} may be away')
def accept_steady(context: Any, tasks: int, away: int) -> None:
    """Accept a job whose tasks go on until they are stopped."""
    phase = make_phase(tasks, 1000, lasts=True, max_away=away)
    context.work.accept(JobId('1' * 16), (phase,))


@when('a start of an earlier holder is recorded just before that of its task')
def record_former_start(context: Any) -> None:
    """Have the log hold two starts of one run, on two workers."""
    work = context.work
    while not _find_starts(work):
        work.step()
    started = _find_starts(work)[0]
    former = next(name for name in work.workers if name != started.worker)
    work.apply((evolve(started, worker=former),))


@when('the holder changes and a busy worker is neither recorded nor back')
def lose_worker(context: Any) -> None:
    """Have the log hold a run on a worker that it does not know."""
    worker = _forget_busy(context.work)
    replace_worker(context.work, worker)


@when('the holder changes and a busy worker is not recorded but comes back')
def forget_worker(context: Any) -> None:
    """Have a new holder hear of a worker only after it took over."""
    _forget_busy(context.work)


@when('its start is late for a worker that is born again as the holder changes')
def start_next_life(context: Any) -> None:
    """Have the new holder hear of a life before it can look at it."""
    work = context.work
    while not _find_starts(work):
        work.step()
    worker = work.workers[_find_starts(work)[0].worker]
    worker.crash(work.now)
    work.late_share = 1
    while not work.late:
        work.step()
    work.late_share = 0
    _, born, order = work.late.pop()
    work.late.append((work.now + LATE_SECONDS, born, order))
    work.take_over()
    worker.is_cut = True
    announced = make_announced(worker.worker, worker.born)
    work.scheduler.note_announced(announced, work.get_moment())


@when('the worker of its first task is cut off')
def cut_first(context: Any) -> None:
    """Cut the worker off that runs the first task."""
    worker = _find_worker(context, f'{"1" * 16}.0.0.0')
    worker.is_cut = True
    context.cut_at = context.work.now


@when('one of its tasks is told to stop just before the holder changes')
def stop_and_change(context: Any) -> None:
    """Stop the first task; its worker takes a while, the holder goes."""
    work = context.work
    task = TaskId(f'{"1" * 16}.0.0.0')
    worker = _find_worker(context, task)
    # The worker lists the run until it has ended.
    worker.stop_at = (task, work.now + 0.2)
    work.take_over()


@when('a worker is born again and an answer of its former life arrives')
def answer_late(context: Any) -> None:
    """Have an answer overtaken by the next life of its worker."""
    work = context.work
    worker = work.workers['w0']
    session = work.scheduler.sessions[worker.worker]
    order = session.get_hold(work.now)
    late = worker.hold(order, work.now)
    worker.crash(work.now)
    work.run(1)
    now = work.get_moment()
    work.scheduler.handle_poll(session, late, work.now - 1, now)


@then('its clock is not taken for that of the new life')
def check_clock(context: Any) -> None:
    """Check the estimate against the worker's clock."""
    work = context.work
    worker = work.workers['w0']
    session = work.scheduler.sessions[worker.worker]
    estimate = session.lease.clock.get_earliest(work.now)
    assert estimate <= worker.get_clock(work.now), estimate


@then('its other tasks are freed for {seconds:d} seconds without harm')
def free_others(context: Any, seconds: int) -> None:
    """Have all workers freed; check each stop as it is asked for."""
    work = context.work
    group = f'{"1" * 16}.0.0'
    phase = work.phases[f'{"1" * 16}.0']
    context.stopped = set()
    for _ in range(seconds * 20):
        work.step()
        at_work = count_at_work(work, group)
        sessions = work.scheduler.sessions
        before = _get_stopped(sessions.values())
        busy = [name for name, found in sessions.items() if found.runs]
        free_workers(work.scheduler, busy, (), work.get_moment())
        asked = _get_stopped(sessions.values()) - before
        left = at_work - len(asked)
        allowed = phase.count - phase.needs.max_away
        assert not asked or left >= allowed, (work.now, asked, at_work)
        context.stopped = context.stopped | asked
    assert context.stopped, 'nothing was freed'


@when('the last of its workers leaves while all others are to be freed')
def leave_and_free(context: Any) -> None:
    """Have a worker leave and free all workers at the same time."""
    work = context.work
    sessions = work.scheduler.sessions
    session = [found for found in sessions.values() if found.runs][-1]
    session.announced = evolve(session.announced, is_leaving=True)
    context.leaving = {(run.task, run.run) for run in session.runs.values()}
    reserved = [name for name, found in sessions.items() if found.runs]
    free_workers(work.scheduler, reserved, (), work.get_moment())


@then('only the tasks of that worker are told to stop')
def check_only_leaving(context: Any) -> None:
    """Check that no run of another worker is stopped."""
    stopped = _get_stopped(context.work.scheduler.sessions.values())
    assert stopped == context.leaving, stopped


@then('the task runs elsewhere within {seconds:g} seconds of the cut')
def check_restarted(context: Any, seconds: float) -> None:
    """Check that another worker runs the task of the lost one."""
    work = context.work
    while work.now < context.cut_at + seconds:
        work.step()
    worker = _find_worker(context, f'{"1" * 16}.0.0.0')
    assert not worker.is_cut


@when('{seconds:d} seconds pass')
def wait(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.work.run(seconds)


@when('the holder changes every second for {seconds:d} seconds')
def change_holders(context: Any, seconds: int) -> None:
    """Have other processes lead in turn."""
    for _ in range(seconds):
        context.work.run(1)
        context.work.take_over()


@when('a worker is cut off for {seconds:d} seconds')
def cut_worker(context: Any, seconds: int) -> None:
    """Cut the first worker off and join it again."""
    worker = context.work.workers['w0']
    worker.is_cut = True
    context.work.run(seconds)
    worker.is_cut = False


@when('each worker is born again in turn')
def bear_again(context: Any) -> None:
    """Crash the workers one after the other, each behind a cut."""
    for worker in context.work.workers.values():
        worker.is_cut = True
        context.work.run(0.5)
        worker.crash(context.work.now)
        context.work.run(0.5)
        worker.is_cut = False
        context.work.run(1)


@when('every run is told to stop each second for {seconds:d} seconds')
def stop_runs(context: Any, seconds: int) -> None:
    """Have the workers freed again and again."""
    for _ in range(seconds):
        context.work.run(1)
        for session in context.work.scheduler.sessions.values():
            for run in session.runs.values():
                session.want_stop(run)


@when('every run is told to stop and the holder changes, {count:d} times')
def stop_and_hand_over(context: Any, count: int) -> None:
    """Have holders order stops just before they are gone."""
    for _ in range(count):
        context.work.run(0.5)
        for session in context.work.scheduler.sessions.values():
            for run in session.runs.values():
                session.want_stop(run)
        context.work.run(0.05)
        context.work.take_over()


@when('every job is cancelled')
def cancel_all(context: Any) -> None:
    """Cancel every job."""
    for job in list(context.work.tables.jobs.jobs):
        context.work.cancel(job)


@then('the job is completed after {starts:d} starts')
def check_starts(context: Any, starts: int) -> None:
    """Check that each task was started once."""
    check_completed(context)
    assert context.work.starts == starts, context.work.starts


@then('every job is completed')
def check_completed(context: Any) -> None:
    """Check the states of all jobs."""
    states = _get_states(context)
    assert set(states.values()) == {JobState.completed}, states


@then('every job is completed or has failed')
def check_ended(context: Any) -> None:
    """Check that no job is stuck, and that most are done."""
    states = _get_states(context)
    assert set(states.values()) <= ENDED, states
    done = [state for state in states.values() if state == JobState.completed]
    assert len(done) * 2 > len(states), states


@then('nothing runs')
def check_nothing(context: Any) -> None:
    """Check that no worker runs anything."""
    left = [
        run for found in context.work.workers.values() for run in found.runs
    ]
    assert not left, left


@then('all {tasks:d} tasks run after more than {starts:d} starts')
def check_lasting(context: Any, tasks: int, starts: int) -> None:
    """Check that tasks that last were started again."""
    running = sum(len(found.runs) for found in context.work.workers.values())
    assert context.work.starts > starts, context.work.starts
    assert running >= tasks - 1, running


@then('no promise is broken')
def run_machine(context: Any) -> None:
    """Run the machine of random faults."""
    run_state_machine_as_test(
        WorkMachine, settings=get_work_settings(context.examples)
    )


@given('random plays of work with seeds from {first:d} to {last:d}')
def draw_plays(context: Any, first: int, last: int) -> None:
    """Note the seeds."""
    context.seeds = range(first, last + 1)


@then('each of them breaks no promise and leaves no job stuck')
def run_plays(context: Any) -> None:
    """Run each play with the oracle of the model."""
    for seed in context.seeds:
        RandomPlay(seed).run()


def _forget_busy(work: WorkModel) -> WorkerId:
    while not any(worker.runs for worker in work.workers.values()):
        work.step()
    busy = next(worker for worker in work.workers.values() if worker.runs)
    work.apply((WorkerGone(busy.worker, busy.born),))
    work.take_over()
    return busy.worker


def _find_starts(work: WorkModel) -> list[RunStarted]:
    return [
        record
        for _, _, batch in work.commits
        for record in batch.records
        if isinstance(record, RunStarted)
    ]


def _find_worker(context: Any, task: str) -> Any:
    found = [
        worker
        for worker in context.work.workers.values()
        if task in worker.runs
    ]
    return min(found, key=_is_out_of_reach)


def _is_out_of_reach(worker: Any) -> bool:
    return worker.is_cut


def _get_stopped(sessions: Iterable[WorkerSession]) -> set[tuple[str, int]]:
    return {
        (run.task, run.run)
        for session in sessions
        for run in session.runs.values()
        if run.is_stop_wanted
    }


def _get_states(context: Any) -> dict[str, JobState]:
    jobs = context.work.tables.jobs.jobs
    return {job_id: job.state for job_id, job in jobs.items()}
