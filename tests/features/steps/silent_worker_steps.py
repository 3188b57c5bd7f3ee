"""Steps on workers that are silent for a while."""

from typing import Any

from behave import then, when

from hornbeamstair_core.ids import JobId
from hornbeamstair_upstreams.work.runs import RunState
from tests.support.work_model import WorkModel, make_phase

# Longest time until the leader knows that the leases of a silent worker have
# expired: a lease of 3.5 seconds on a clock that is 2% slow, the margins, and
# the commit of the ends.
EXPIRY_SECONDS = 4.2


@when('{count:d} jobs of one small task come')
def accept_small_jobs(context: Any, count: int) -> None:
    """Accept jobs that all fit on two workers."""
    for number in range(1, count + 1):
        job = JobId(f'{number:016x}')
        context.work.accept(job, (make_phase(1, 1000),))


@when('their workers fall silent for good right after the starts')
def silence_workers(context: Any) -> None:
    """Cut off all workers with runs as soon as every task has started."""
    work = context.work
    while _count_runs(work) < len(work.tables.jobs.jobs):
        work.step()
    for worker in work.workers.values():
        worker.is_partitioned = bool(worker.runs)


@when('the leases expire and {seconds:d} seconds pass')
def expire_leases(context: Any, seconds: int) -> None:
    """Wait until the runs have ended and some seconds more."""
    context.work.run(EXPIRY_SECONDS + seconds)


@then('every task runs on another worker')
def check_restarted(context: Any) -> None:
    """Check that a worker in reach runs the task of each job."""
    work = context.work
    running = _count_runs(work)
    assert running == len(work.tables.jobs.jobs), running


@when(
    'the answer to a poll right after its start waits for {seconds:d} seconds'
)
def delay_answer(context: Any, seconds: int) -> None:
    """Handle an answer that arrived while the leader was paused."""
    work = context.work
    worker = next(iter(work.workers.values()))
    session = next(iter(work.scheduler.sessions.values()))
    while not _is_running(session):
        work.step()
    sent_at = work.now
    answer = worker.poll(session.make_poll(sent_at), sent_at)
    work.now += seconds
    moment = work.get_moment()
    work.scheduler.handle_poll(session, answer, sent_at, moment)
    context.session = session


@then('its run has not outlived its start')
def check_unproven(context: Any) -> None:
    """Check that no answer has shown the run half a second after its start."""
    started = next(iter(context.session.runs.values()))
    assert not started.is_proven


@then('the worker accepts no new work')
def check_silent(context: Any) -> None:
    """Check that the worker counts as silent."""
    assert not context.session.may_start(context.work.now)


def _is_running(session: Any) -> bool:
    return any(run.state == RunState.running for run in session.runs.values())


def _count_runs(work: WorkModel) -> int:
    return sum(
        len(worker.runs)
        for worker in work.workers.values()
        if not worker.is_partitioned
    )
