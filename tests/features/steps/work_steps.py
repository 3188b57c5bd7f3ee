"""Steps on jobs with modelled workers and faults."""

from collections.abc import Iterable
from random import Random
from typing import Any

from attrs import evolve
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_callers.jobs.draining import drain_workers
from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_callers.jobs.records import RunStarted
from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import WorkerGone
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.random_simulations import RandomSimulation
from tests.support.random_work import WorkStateMachine, get_work_settings
from tests.support.work_model import (
    QUEUE,
    WorkModel,
    count_available,
    make_phase,
    make_worker_announcement,
    replace_worker,
)

# Longer than the restart of a lost task takes, shorter than its next run.
DELAY_SECONDS = 0.3
ENDED = frozenset((JobState.completed, JobState.failed))


@given('a work model with seed {seed:d} and no faults')
def start_model(context: Any, seed: int) -> None:
    """Start a model without faults."""
    context.work = WorkModel(
        Random(seed),
        lost_share=0,
        delayed_share=0,
        fail_share=0,
    )


@given('a work model with seed {seed:d}, {count:d} workers and no faults')
def start_sized_model(context: Any, seed: int, count: int) -> None:
    """Start a model without faults and with a number of workers."""
    context.work = WorkModel(
        Random(seed),
        worker_count=count,
        lost_share=0,
        delayed_share=0,
        fail_share=0,
    )


@given(
    'a work model with seed {seed:d} in which a third of the answers is lost',
)
def start_lossy(context: Any, seed: int) -> None:
    """Start a model that loses answers."""
    context.work = WorkModel(Random(seed), lost_share=0.33, delayed_share=0)


@given(
    'a work model with seed {seed:d} in which a third of the orders is delayed'
)
def start_delaying(context: Any, seed: int) -> None:
    """Start a model that delays orders."""
    context.work = WorkModel(Random(seed), lost_share=0, delayed_share=0.33)


@given('a work model with seed {seed:d} in which starts are delayed or refused')
def start_refusing(context: Any, seed: int) -> None:
    """Start a model in which workers also refuse starts."""
    context.work = WorkModel(
        Random(seed),
        lost_share=0,
        delayed_share=0.3,
        refuse_share=0.3,
    )


@given('the work state machine with {examples:d} examples')
def prepare_machine(context: Any, examples: int) -> None:
    """Set the number of examples of the state machine."""
    context.examples = examples


@when('a job of {phases:d} phases with {tasks:d} tasks each is accepted')
def accept_job(context: Any, phases: int, tasks: int) -> None:
    """Accept one job."""
    accept_jobs(context, 1, phases, tasks)


@when(
    '{count:d} jobs of {phases:d} phases with {tasks:d} tasks each are accepted'
)
def accept_jobs(context: Any, count: int, phases: int, tasks: int) -> None:
    """Accept jobs whose phases run one after the other."""
    for number in range(1, count + 1):
        made = [make_phase(tasks, 3000)]
        made.extend(
            make_phase(tasks, 3000, (before,)) for before in range(phases - 1)
        )
        context.work.accept(JobId(f'{number:016x}'), tuple(made))


@when('every worker is partitioned as a job of {tasks:d} tasks is accepted')
def accept_unreachable(context: Any, tasks: int) -> None:
    """Partition all workers, then accept a job."""
    for worker in context.work.workers.values():
        worker.is_partitioned = True
    accept_job(context, 1, tasks)


@when('every worker is reachable again')
def heal_partitions(context: Any) -> None:
    """Heal all partitions."""
    for worker in context.work.workers.values():
        worker.is_partitioned = False


@then('a start of the job is recorded')
def check_recorded(context: Any) -> None:
    """Check that the table holds a run."""
    table = context.work.scheduler.state.jobs
    job = next(table.get_open())
    assert any(task.run for task in job.tasks.values())


@then('{count:d} jobs are pending')
def check_pending(context: Any, count: int) -> None:
    """Check the count that callers are shown."""
    assert context.work.scheduler.unstarted.count(QUEUE) == count


@when('a job of {tasks:d} long-running tasks is accepted')
def accept_long_running(context: Any, tasks: int) -> None:
    """Accept a job that runs until it is cancelled."""
    phase = make_phase(tasks, 1000, lasts=True)
    context.work.accept(JobId('1' * 16), (phase,))


@when(
    'a job of {tasks:d} endless tasks with at most {unavailable:d} unavailable'
)
def accept_endless(context: Any, tasks: int, unavailable: int) -> None:
    """Accept a job whose tasks run until they are stopped."""
    phase = make_phase(tasks, 1000, lasts=True, max_away=unavailable)
    context.work.accept(JobId('1' * 16), (phase,))


@when('a start of the previous leader is recorded just before that of its task')
def record_previous_start(context: Any) -> None:
    """Record two starts of one run, on two workers."""
    work = context.work
    while not _find_starts(work):
        work.step()
    started = _find_starts(work)[0]
    previous = next(name for name in work.workers if name != started.worker)
    work.apply((evolve(started, worker=previous),))


@when('the leader changes and a busy worker is neither recorded nor back')
def replace_unrecorded(context: Any) -> None:
    """Leave a recorded run on a worker without a record, and replace it."""
    worker = _remove_busy_record(context.work)
    replace_worker(context.work, worker)


@when('the leader changes and a busy worker is not recorded but returns')
def keep_unrecorded(context: Any) -> None:
    """Have a worker announce itself only after the leader changed."""
    _remove_busy_record(context.work)


@when('its start is delayed for a worker that restarts as the leader changes')
def start_next_incarnation(context: Any) -> None:
    """Announce a restarted worker that the new leader cannot poll yet."""
    work = context.work
    while not _find_starts(work):
        work.step()
    worker = work.workers[_find_starts(work)[0].worker]
    worker.crash(work.now)
    work.delayed_share = 1
    while not work.delayed_orders:
        work.step()
    work.delayed_share = 0
    _, order = work.delayed_orders.pop()
    work.delayed_orders.append((work.now + DELAY_SECONDS, order))
    work.change_leader()
    worker.is_partitioned = True
    announced = make_worker_announcement(worker.worker, worker.incarnation)
    work.scheduler.handle_announcement(announced, work.get_moment())


@when('the worker of its first task is partitioned')
def partition_first(context: Any) -> None:
    """Partition the worker that runs the first task."""
    worker = _find_worker(context, f'{"1" * 16}.0.0.0')
    worker.is_partitioned = True
    context.partitioned_at = context.work.now


@when('one of its tasks is ordered to stop just before the leader changes')
def stop_and_change(context: Any) -> None:
    """Change the leader while a worker is still stopping the first task."""
    work = context.work
    task = TaskId(f'{"1" * 16}.0.0.0')
    worker = _find_worker(context, task)
    # The worker lists the run until it has ended.
    worker.pending_stop = (task, work.now + 0.2)
    work.change_leader()


@when('a worker restarts and an answer of its previous incarnation arrives')
def deliver_previous_answer(context: Any) -> None:
    """Deliver an answer after its worker has restarted."""
    work = context.work
    worker = work.workers['w0']
    session = work.scheduler.sessions[worker.worker]
    order = session.make_poll(work.now)
    delayed_answer = worker.poll(order, work.now)
    worker.crash(work.now)
    work.run(1)
    now = work.get_moment()
    work.scheduler.handle_poll(session, delayed_answer, work.now - 1, now)


@then('its clock is not taken for that of the new incarnation')
def check_clock(context: Any) -> None:
    """Check that the estimate is not ahead of the worker's clock."""
    work = context.work
    worker = work.workers['w0']
    session = work.scheduler.sessions[worker.worker]
    estimate = session.lease.clock.get_lowest_reading(work.now)
    assert estimate <= worker.get_clock(work.now), estimate


@then('its other tasks are drained for {seconds:d} seconds within that limit')
def drain_others(context: Any, seconds: int) -> None:
    """Drain all workers; check at each requested stop what stays available."""
    work = context.work
    phase_id = f'{"1" * 16}.0.0'
    phase = work.phases[f'{"1" * 16}.0']
    context.stopped = set()
    for _ in range(seconds * 20):
        work.step()
        available = count_available(work, phase_id)
        sessions = work.scheduler.sessions
        before = _get_stop_requests(sessions.values())
        busy = [name for name, session in sessions.items() if session.runs]
        drain_workers(work.scheduler, busy, (), work.get_moment())
        requested = _get_stop_requests(sessions.values()) - before
        unstopped = available - len(requested)
        allowed = phase.count - phase.needs.max_away
        assert not requested or unstopped >= allowed, (
            work.now,
            requested,
            available,
        )
        context.stopped = context.stopped | requested
    assert context.stopped, 'nothing was drained'


@when('the last of its workers leaves while all others are to be drained')
def leave_and_drain(context: Any) -> None:
    """Have a worker leave and drain all workers at the same time."""
    work = context.work
    sessions = work.scheduler.sessions
    session = [known for known in sessions.values() if known.runs][-1]
    session.announced = evolve(session.announced, is_leaving=True)
    context.leaving = {(run.task, run.run) for run in session.runs.values()}
    reserved = [name for name, known in sessions.items() if known.runs]
    drain_workers(work.scheduler, reserved, (), work.get_moment())


@then('only the tasks of that worker are to stop')
def check_only_leaving(context: Any) -> None:
    """Check that no run of another worker is stopped."""
    stopped = _get_stop_requests(context.work.scheduler.sessions.values())
    assert stopped == context.leaving, stopped


@then('the task runs elsewhere within {seconds:g} seconds of the partition')
def check_restarted(context: Any, seconds: float) -> None:
    """Check that a reachable worker runs the task."""
    work = context.work
    while work.now < context.partitioned_at + seconds:
        work.step()
    worker = _find_worker(context, f'{"1" * 16}.0.0.0')
    assert not worker.is_partitioned


@when('{seconds:g} seconds pass')
def wait(context: Any, seconds: float) -> None:
    """Advance the clock."""
    context.work.run(seconds)


@when('the leader changes every second for {seconds:d} seconds')
def change_leaders(context: Any, seconds: int) -> None:
    """Change the leader once a second."""
    for _ in range(seconds):
        context.work.run(1)
        context.work.change_leader()


@when('a worker is partitioned for {seconds:d} seconds')
def partition_worker(context: Any, seconds: int) -> None:
    """Partition the first worker for a while."""
    worker = context.work.workers['w0']
    worker.is_partitioned = True
    context.work.run(seconds)
    worker.is_partitioned = False


@when('each worker restarts in turn')
def restart_workers(context: Any) -> None:
    """Crash the workers one after the other while partitioned."""
    for worker in context.work.workers.values():
        worker.is_partitioned = True
        context.work.run(0.5)
        worker.crash(context.work.now)
        context.work.run(0.5)
        worker.is_partitioned = False
        context.work.run(1)


@when('the stop of every run is requested each second for {seconds:d} seconds')
def stop_runs(context: Any, seconds: int) -> None:
    """Request the stop of every run once a second."""
    for _ in range(seconds):
        context.work.run(1)
        for session in context.work.scheduler.sessions.values():
            for run in session.runs.values():
                session.request_stop(run)


@when(
    'the stop of every run is requested and the leader changes, {count:d} times'
)
def stop_and_hand_over(context: Any, count: int) -> None:
    """Have leaders order stops just before they are replaced."""
    for _ in range(count):
        context.work.run(0.5)
        for session in context.work.scheduler.sessions.values():
            for run in session.runs.values():
                session.request_stop(run)
        context.work.run(0.05)
        context.work.change_leader()


@when('every job is cancelled')
def cancel_all(context: Any) -> None:
    """Cancel every job."""
    for job in list(context.work.tables.jobs.jobs):
        context.work.cancel(job)


@then('the job is completed after {starts:d} starts')
def check_starts(context: Any, starts: int) -> None:
    """Check the states of all jobs and the number of starts."""
    check_completed(context)
    assert context.work.starts == starts, context.work.starts


@then('every job is completed')
def check_completed(context: Any) -> None:
    """Check the states of all jobs."""
    states = _get_states(context)
    assert set(states.values()) == {JobState.completed}, states


@then('every job is completed or has failed')
def check_ended(context: Any) -> None:
    """Check that all jobs ended and most are completed."""
    states = _get_states(context)
    assert set(states.values()) <= ENDED, states
    done = [state for state in states.values() if state == JobState.completed]
    assert len(done) * 2 > len(states), states


@then('nothing runs')
def check_nothing(context: Any) -> None:
    """Check that no worker has a run."""
    unstopped = [
        run for worker in context.work.workers.values() for run in worker.runs
    ]
    assert not unstopped, unstopped


@then('all {tasks:d} tasks run after more than {starts:d} starts')
def check_long_running(context: Any, tasks: int, starts: int) -> None:
    """Check that long-running tasks were restarted."""
    running = sum(len(worker.runs) for worker in context.work.workers.values())
    assert context.work.starts > starts, context.work.starts
    assert running >= tasks - 1, running


@then('no scheduling guarantee is broken')
def run_machine(context: Any) -> None:
    """Run the state machine of random faults."""
    run_state_machine_as_test(
        WorkStateMachine, settings=get_work_settings(context.examples)
    )


@given('random work simulations with seeds from {first:d} to {last:d}')
def set_seeds(context: Any, first: int, last: int) -> None:
    """Set the seeds."""
    context.seeds = range(first, last + 1)
    context.held_share = 0
    context.delayed_polls_share = 0


@given('relays that hold {share:g} of the starts')
def hold_starts(context: Any, share: float) -> None:
    """Have a share of the starts arrive late, but while they are valid."""
    context.held_share = share


@then('each of them breaks no guarantee and leaves no job stuck')
def run_simulations(context: Any) -> None:
    """Run each simulation with the oracle of the model."""
    for seed in context.seeds:
        RandomSimulation(
            seed,
            context.held_share,
            context.delayed_polls_share,
        ).run()


def _remove_busy_record(work: WorkModel) -> WorkerId:
    while not any(worker.runs for worker in work.workers.values()):
        work.step()
    busy = next(worker for worker in work.workers.values() if worker.runs)
    work.apply((WorkerGone(busy.worker, busy.incarnation),))
    work.change_leader()
    return busy.worker


def _find_starts(work: WorkModel) -> list[RunStarted]:
    return [
        record
        for _, _, batch in work.commits
        for record in batch.records
        if isinstance(record, RunStarted)
    ]


def _find_worker(context: Any, task: str) -> Any:
    workers = [
        worker
        for worker in context.work.workers.values()
        if task in worker.runs
    ]
    return min(workers, key=_is_partitioned)


def _is_partitioned(worker: Any) -> bool:
    return worker.is_partitioned


def _get_stop_requests(
    sessions: Iterable[WorkerSession],
) -> set[tuple[str, int]]:
    return {
        (run.task, run.run)
        for session in sessions
        for run in session.runs.values()
        if run.is_stop_requested
    }


def _get_states(context: Any) -> dict[str, JobState]:
    jobs = context.work.tables.jobs.jobs
    return {job_id: job.state for job_id, job in jobs.items()}
