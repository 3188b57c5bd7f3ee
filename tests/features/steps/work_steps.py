"""Steps with the modelled workers."""

from random import Random
from typing import Any

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_core.ids import JobId
from tests.support.random_work import WorkMachine, get_work_settings
from tests.support.work_model import WorkModel, make_phase

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


@when('a job of {tasks:d} tasks that last is accepted')
def accept_lasting(context: Any, tasks: int) -> None:
    """Accept a job that runs until it is cancelled."""
    phase = make_phase(tasks, 1000, lasts=True)
    context.work.accept(JobId('1' * 16), (phase,))


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


def _get_states(context: Any) -> dict[str, JobState]:
    jobs = context.work.tables.jobs.jobs
    return {job_id: job.state for job_id, job in jobs.items()}
