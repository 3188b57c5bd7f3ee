"""Steps on tasks that could run but are not started."""

from collections.abc import Callable
from functools import partialmethod
from typing import Any
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when

from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_core.ids import JobId, PoolName, TaskId
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    StopOrder,
)
from hornbeamstair_upstreams.work.runs import EndedRun
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.features.steps.unconfirmed_steps import (
    BACKFILL_JOB,
    JOB,
    make_backfill_phase,
    make_serving_phase,
)
from tests.support.work_model import (
    SERVICE,
    ModelWorker,
    add_worker,
    make_phase,
)


@when('the senders of the next {count:d} starts fail without an outcome')
def fail_senders(context: Any, count: int) -> None:
    """Drop start orders as an unexpected error of their sender does."""
    context.work.failing_senders = count


@when('the next {polls:d} polls and {starts:d} starts are not sent in time')
def expire_orders(context: Any, polls: int, starts: int) -> None:
    """Have orders expire before they are sent."""
    context.work.expiring_polls = polls
    context.work.expiring_starts = starts


@then('{count:d} workers accept new work')
def check_usable(context: Any, count: int) -> None:
    """Check that no worker is paused or taken for unresponsive."""
    work = context.work
    now = work.get_moment()
    assert len(work.scheduler.get_usable_sessions(SERVICE, now)) == count


@when('{count:d} tasks are placed while {pause} for {seconds:g} seconds')
def place_in_pause(
    context: Any, count: int, pause: str, seconds: float
) -> None:
    """Place tasks whose start orders are not sent or not answered."""
    work = context.work
    is_cut = pause == 'every worker is partitioned'
    work.accept(JOB, (make_phase(count, 2000),))
    work.sends_no_starts = not is_cut
    if is_cut:
        work.step()
    for worker in work.workers.values():
        worker.is_partitioned = is_cut
    work.run(0.2)
    if is_cut:
        work.run(seconds)
    else:
        # The process of the leader stands still.
        work.now += seconds
    work.sends_no_starts = False
    for paused_worker in work.workers.values():
        paused_worker.is_partitioned = False


@when('the first worker ignores starts from now on')
def ignore_first(context: Any) -> None:
    """Have the worker that is chosen first answer polls only."""
    next(iter(context.work.workers.values())).ignores_starts = True


@when('the workers of these tasks refuse starts from now on')
def refuse_starts(context: Any) -> None:
    """Have the workers that are chosen first refuse starts."""
    for worker in context.work.workers.values():
        worker.refuses_starts = bool(worker.runs)


@when('{count:d} jobs of 1 phases with 1 tasks each are accepted besides')
def accept_besides(context: Any, count: int) -> None:
    """Accept jobs of one small task."""
    context.besides = [
        JobId(f'{number:016x}') for number in range(8, 8 + count)
    ]
    for job in context.besides:
        context.work.accept(job, (make_phase(1, 2000, memory=896),))


@then('both of these jobs are completed')
def check_besides(context: Any) -> None:
    """Check the jobs of one small task."""
    jobs = context.work.tables.jobs.jobs
    states = {jobs[job].state for job in context.besides}
    assert states == {JobState.completed}, states


@when('the withdrawal of a previous incarnation of its worker arrives late')
def withdraw_late(context: Any) -> None:
    """Report the end of a worker that goes on."""
    work = context.work
    worker = next(iter(work.workers))
    work.scheduler.handle_withdrawal(worker, work.get_moment())


@given('polls that its workers answer after {seconds:g} seconds')
def slow_polls(context: Any, seconds: float) -> None:
    """Poll each worker less often, as polls that wait for an end do."""
    context.work.poll_seconds = seconds


@when(
    'a late withdrawal of each worker arrives {count:d} times, '
    '{seconds:d} second apart',
)
def withdraw_all_late(context: Any, count: int, seconds: int) -> None:
    """Report the end of workers that go on."""
    work = context.work
    for _ in range(count):
        for worker in work.workers:
            work.scheduler.handle_withdrawal(worker, work.get_moment())
        work.run(seconds)


@when(
    'each worker restarts while messages to its previous address are '
    'unanswered',
)
def restart_all(context: Any) -> None:
    """Restart each worker, and keep an order and a time of before."""
    work = context.work
    context.sent_at = work.now
    context.restarted = list(work.scheduler.sessions.values())
    for worker in work.workers.values():
        worker.crash(work.now)
    work.run(1)


@when('these messages are answered by another worker')
def answer_late(context: Any) -> None:
    """Deliver answers that name another worker."""
    work = context.work
    gone = OrderAnswer(OrderOutcome.other_life)
    for session in context.restarted:
        stop = StopOrder(
            worker=session.announced.worker,
            address=session.announced.address,
            port=session.announced.port,
            fencing_token=session.fencing_token,
            task=TaskId('ended'),
            run=1,
        )
        moment = work.get_moment()
        poll = PollAnswer(OrderOutcome.other_life)
        work.scheduler.handle_poll(session, poll, context.sent_at, moment)
        work.scheduler.handle_stop_answer(session, stop, gone, moment)


@when('the worker restarts and does not announce itself yet')
def restart_silently(context: Any) -> None:
    """Restart the only worker, which polls show first."""
    work = context.work
    worker = _get_worker(context)
    worker.crash(work.now)
    worker.is_unannounced = True
    work.run(1)


@when('the worker announces itself')
def announce(context: Any) -> None:
    """Have the only worker announce itself from now on."""
    worker = _get_worker(context)
    worker.is_unannounced = False


@when('a task that needs a label is accepted while the worker ignores starts')
def accept_labelled(context: Any) -> None:
    """Leave the start of a task unanswered."""
    worker = _get_worker(context)
    worker.ignores_starts = True
    phase = make_phase(1, 1000)
    labelled = evolve(phase, needs=evolve(phase.needs, label='a'))
    context.work.accept(JOB, (labelled,))
    context.work.run(0.5)


@when('the worker restarts without the label')
def restart_without_label(context: Any) -> None:
    """Restart the only worker as another kind."""
    worker = _get_worker(context)
    worker.crash(context.work.now)
    worker.labels = ('b', 'r1')
    worker.ignores_starts = False


@when('a worker leaves while the start of its task has no answer')
def leave_unanswered(context: Any) -> None:
    """Lose the answers to starts until the worker has said that it leaves."""
    work = context.work
    for worker in work.workers.values():
        worker.ignores_starts = True
    work.accept(JOB, (make_phase(1, 1000),))
    work.run(0.3)
    context.leaving = next(
        worker
        for name, worker in work.workers.items()
        if work.scheduler.sessions[name].runs
    )
    context.leaving.is_leaving = True
    work.run(0.1)
    for answering in work.workers.values():
        answering.ignores_starts = False


@then('the worker that leaves has started nothing')
def check_left(context: Any) -> None:
    """Check the runs and the ends of the worker that leaves."""
    worker = context.leaving
    assert not worker.runs, worker.runs
    assert not worker.last_end_number, worker.last_end_number


@then('nothing was started')
def check_nothing_started(context: Any) -> None:
    """Check that no worker has executed a start."""
    assert not context.work.starts, context.work.starts


@when('a worker with a task withdraws and ends')
def end_one(context: Any) -> None:
    """Report the end of a worker, which answers nothing any more."""
    work = context.work
    context.ended = next(
        worker for worker in work.workers.values() if worker.runs
    )
    work.scheduler.handle_withdrawal(context.ended.worker, work.get_moment())
    context.ended.crash(work.now)
    context.ended.is_partitioned = True


@then('each of the {count:d} tasks was started once and runs')
def check_started_once(context: Any, count: int) -> None:
    """Check the starts, and the runs on all workers."""
    starts = context.work.starts_by_task
    assert list(starts.values()) == [1] * count, starts
    workers = context.work.workers.values()
    running = [task for worker in workers for task in worker.runs]
    assert sorted(running) == sorted(starts), running


@then('each of the {count:d} tasks runs on another worker')
def check_moved(context: Any, count: int) -> None:
    """Check the runs of the workers that go on."""
    running = {
        task
        for worker in context.work.workers.values()
        if worker is not context.ended
        for task in worker.runs
    }
    assert len(running) == count, running


@when('each check of the first worker fails from now on while all are due')
def fail_checks(context: Any) -> None:
    """Raise an error in each check of one worker."""
    scheduler = context.work.scheduler
    failing = next(iter(scheduler.sessions.values()))
    patched = patch.object(
        WorkerSession,
        'expire',
        partialmethod(_expire_or_fail, WorkerSession.expire, failing),
    )
    patched.start()
    context.add_cleanup(patched.stop)
    for session in scheduler.sessions.values():
        scheduler.index.on_check_due(session)


@when('every worker is partitioned for good and {count:d} others join')
def replace_all(context: Any, count: int) -> None:
    """Partition all workers and add others."""
    for worker in context.work.workers.values():
        worker.is_partitioned = True
    context.others = [add_worker(context.work) for _ in range(count)]


@then('two of the {count:d} tasks run on one of the others')
def check_replaced(context: Any, count: int) -> None:
    """Check the tasks of all workers but that whose checks fail."""
    running = {task for worker in context.others for task in worker.runs}
    assert len(running) == count - 1, running


@then('a job that comes now is completed there')
def check_placement(context: Any) -> None:
    """Check that the passes of the placement go on."""
    job = JobId(f'{9:016x}')
    context.work.accept(job, (make_phase(2, 1000),))
    context.work.run(4)
    jobs = context.work.tables.jobs.jobs
    assert jobs[job].state == JobState.completed


@when(
    'a job of {serving:d} serving tasks and then one of {backfill:d} '
    'backfill tasks is accepted'
)
def accept_both(context: Any, serving: int, backfill: int) -> None:
    """Accept backfill tasks once each worker serves."""
    context.work.accept(JOB, (make_serving_phase(serving),))
    context.work.run(1)
    context.work.accept(BACKFILL_JOB, (make_backfill_phase(backfill),))


@when('a worker joins')
def join(context: Any) -> None:
    """Add a worker."""
    context.joined = add_worker(context.work)


@then('the pool asks for {count:d} hosts')
@then('the pool asks for {count:d} host')
def check_demand(context: Any, count: int) -> None:
    """Check the hosts that tasks without a worker need."""
    work = context.work
    demand = get_demands(work.scheduler, work.get_moment())
    assert demand[PoolName(SERVICE)].unplaced == count, demand


@then('both backfill tasks run on it')
def check_backfill(context: Any) -> None:
    """Check the runs of the worker that joined."""
    jobs = [JobId(task.partition('.')[0]) for task in context.joined.runs]
    assert jobs == [BACKFILL_JOB] * 2, jobs


def _get_worker(context: Any) -> ModelWorker:
    return next(iter(context.work.workers.values()))


def _expire_or_fail(
    session: WorkerSession,
    expire: Callable[[WorkerSession, float], list[EndedRun]],
    failing: WorkerSession,
    now: float,
) -> list[EndedRun]:
    if session is failing:
        raise ValueError
    return expire(session, now)
