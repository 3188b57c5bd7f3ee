"""Steps with orders and answers that are late."""

from random import Random
from typing import Any

from attrs import define, evolve, field
from behave import given, then, when

from hornbeamstair_core.ids import JobId, TaskId, WorkerId
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    RunReport,
    StartOrder,
)
from hornbeamstair_upstreams.work.polls import handle_poll_answer
from hornbeamstair_upstreams.work.runs import Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.work_model import (
    RESOURCES,
    ModelRun,
    ModelWorker,
    WorkModel,
    add_worker,
    make_phase,
)

JOB = JobId(f'{58:016x}')
OTHER_JOB = JobId(f'{59:016x}')
TASK = TaskId(f'{JOB}.0.0.0')


@define(eq=False)
class OvertakingModel(WorkModel):
    """Model in which polls may overtake the answers to starts."""

    # Delays of the answers to the next starts that a worker executes.
    answer_delays: list[float] = field(factory=list)
    answers: list[tuple[float, WorkerSession, StartOrder, OrderAnswer]] = field(
        factory=list
    )

    def step(self) -> None:
        """Advance the clock by one step."""
        due = [held for held in self.answers if held[0] <= self.now]
        self.answers = [held for held in self.answers if held[0] > self.now]
        moment = self.get_moment()
        for _, session, order, answer in due:
            self.scheduler.handle_start_answer(session, order, answer, moment)
        super().step()

    def _start(self, session: WorkerSession, order: StartOrder) -> None:
        if self.start_delays or not self.answer_delays:
            super()._start(session, order)
            return
        answer = self.workers[order.worker].start(order, self.now)
        due = self.now + self.answer_delays.pop(0)
        self.answers.append((due, session, order, answer))


def _get_late_worker(work: WorkModel) -> ModelWorker:
    order = next(
        order
        for _, order in work.delayed_orders
        if isinstance(order, StartOrder)
    )
    return work.workers[order.worker]


@given('an overtaking work model with seed {seed:d}, {count:d} workers')
def start_overtaking(context: Any, seed: int, count: int) -> None:
    """Start a model in which answers to starts may be slow."""
    context.work = OvertakingModel(
        Random(seed),
        worker_count=count,
        lost_share=0,
        delayed_share=0,
        fail_share=0,
        refuse_share=0,
    )


@when(
    'its start is sent again, executed, and answered {seconds:g} seconds late'
)
def delay_answer(context: Any, seconds: float) -> None:
    """Have the answer to the second start overtaken by polls."""
    context.work.answer_delays.append(seconds)


@when(
    'a job of 1 task of 60 seconds is accepted, whose first start is executed '
    '{late:g} seconds late'
)
def accept_one(context: Any, late: float) -> None:
    """Accept a job of one task."""
    context.work.start_delays.append(late)
    context.work.seconds_by_job[JOB] = 60
    context.work.accept(JOB, (make_phase(1, cpu=8000),))


@when('the next poll of its worker is executed {late:g} seconds late')
def delay_its_poll(context: Any, late: float) -> None:
    """Delay a poll of the worker of the late start."""
    work = context.work
    worker = _get_late_worker(work)
    work.poll_delays[worker.worker] = [late]
    while work.poll_delays[worker.worker]:
        work.step()


@when('a start of another task there is executed {late:g} seconds late')
def delay_other_start(context: Any, late: float) -> None:
    """Send a start of another task to the worker of the late start."""
    work = context.work
    worker = _get_late_worker(work)
    work.start_delays.append(late)
    work.seconds_by_job[OTHER_JOB] = 60
    # One task for each worker.
    work.accept(OTHER_JOB, (make_phase(1, cpu=8000),))
    while work.start_delays:
        work.step()
    order = work.delayed_orders[-1][1]
    assert order.worker == worker.worker, 'the other task is elsewhere'


@when('its worker restarts and is cut off')
def cut_off(context: Any) -> None:
    """Restart the worker of the late start, and cut it off."""
    worker = _get_late_worker(context.work)
    worker.crash(context.work.now)
    worker.is_partitioned = True


@then('the job is over')
def check_over(context: Any) -> None:
    """Check that the job is over; the oracle has checked each start."""
    job = context.work.tables.jobs.jobs[JOB]
    assert not job.is_open, job.state


# Forgotten sessions


@when('a worker withdraws, with a poll {late:g} seconds late, and is forgotten')
def forget_worker(context: Any, late: float) -> None:
    """Let the leader forget a worker with a poll on its way."""
    work = context.work
    name = WorkerId('w0')
    worker = work.workers[name]
    work.poll_delays[name] = [late]
    while work.poll_delays[name]:
        work.step()
    worker.is_partitioned = True
    worker.is_unannounced = True
    work.scheduler.handle_withdrawal(name, work.get_moment())
    while name in work.scheduler.sessions:
        work.step()
    assert work.delayed_orders, 'the poll has arrived too early'


@when('it starts again under its id just before the late poll')
def return_worker(context: Any) -> None:
    """Start the worker again, which announces itself after the late poll."""
    work = context.work
    worker = work.workers[WorkerId('w0')]
    worker.crash(work.now)
    while work.delayed_orders:
        work.step()
    worker.is_partitioned = False
    worker.is_unannounced = False


@when('a job of 4 tasks of 40 seconds runs, and the worker is cut off')
def cut_returned(context: Any) -> None:
    """Cut off the worker just after it has started a task."""
    work = context.work
    worker = work.workers[WorkerId('w0')]
    work.seconds_by_job[JOB] = 40
    work.accept(JOB, (make_phase(4, cpu=8000),))
    while not worker.runs:
        work.step()
    worker.is_partitioned = True


# Inheritance


@when(
    'a job of 1 task is accepted, whose worker is cut off for {cut:g} seconds '
    'from its first start'
)
def cut_from_start(context: Any, cut: float) -> None:
    """Lose the first start with the worker, and heal it later."""
    work = context.work
    work.seconds_by_job[JOB] = 60
    work.accept(JOB, (make_phase(1, cpu=8000),))
    sessions = work.scheduler.sessions
    while not any(session.runs for session in sessions.values()):
        work.step()
    name = next(name for name, session in sessions.items() if session.runs)
    worker = work.workers[name]
    worker.is_partitioned = True
    work.run(cut)
    assert sessions[name].runs, 'the run has ended'
    worker.is_partitioned = False


@when('the start that is sent then is executed {late:g} seconds late')
def delay_resent(context: Any, late: float) -> None:
    """Delay the start that is sent again."""
    context.work.start_delays.append(late)
    while context.work.start_delays:
        context.work.step()


# Answers to one session


@given('a session with a run whose first start has no answer')
def make_session(context: Any) -> None:
    """Send two starts of a run; the first one has no answer."""
    context.work = WorkModel(
        Random(1), lost_share=0, delayed_share=0, fail_share=0, refuse_share=0
    )
    work = context.work
    work.accept(JOB, (make_phase(1, cpu=8000),))
    work.cancel(JOB)
    work.run(1)
    context.session = work.scheduler.sessions[WorkerId('w0')]
    needs = work.get_phase(TASK).needs
    run = Run(TASK, 1, needs, f'{JOB}.0', RunState.recorded, work.now)
    context.session.add_run(run)
    context.first = context.session.make_start(run, 'text', work.now)
    work.now += 0.5
    context.session.handle_start_answer(
        context.first, OrderAnswer(OrderOutcome.unknown), work.now
    )
    context.run = run


def _get_clock(context: Any) -> float:
    worker = context.work.workers[WorkerId('w0')]
    return worker.get_clock(context.work.now)


def _answer_poll(context: Any, incarnation: int, running: bool) -> None:
    session, work = context.session, context.work
    session.make_poll(work.now)
    reports = (RunReport(TASK, 1, '', 50, 0),) if running else ()
    answer = PollAnswer(
        OrderOutcome.done, _get_clock(context), incarnation, reports
    )
    handle_poll_answer(session, answer, work.now, work.now)


def _start_again(context: Any) -> None:
    context.work.now += 0.2
    context.second = context.session.make_start(
        context.run, 'text', context.work.now
    )


@when('it is sent again, and a poll lists the run before the answer is here')
def list_before_answer(context: Any) -> None:
    """Let a poll overtake the answer to the second start."""
    _start_again(context)
    context.work.now += 0.1
    _answer_poll(context, 1, running=True)


@when('the second start is answered as {outcome}')
def answer_second(context: Any, outcome: str) -> None:
    """Answer the second start."""
    answer = OrderAnswer(OrderOutcome[outcome], _get_clock(context))
    context.ended = context.session.handle_start_answer(
        context.second, answer, context.work.now
    )


@then('the first start is still counted as open')
def check_open(context: Any) -> None:
    """Check the number of open orders."""
    assert context.run.open_orders == 1, context.run


@then('the run is still tracked')
def check_tracked(context: Any) -> None:
    """Check that the run was not ended."""
    proofs = [ended.proof for ended in context.ended]
    assert TASK in context.session.runs, proofs


@when('the worker has returned at another port, and it is sent again')
def return_elsewhere(context: Any) -> None:
    """Let another incarnation of the worker announce another port."""
    session, work = context.session, context.work
    announced = evolve(session.announced, incarnation=2, sequence=1, port=77)
    session.handle_announcement(announced, work.now)
    work.workers[WorkerId('w0')].crash(work.now)
    work.now += 0.1
    _answer_poll(context, 2, running=False)
    _start_again(context)


@when('another worker at the former port answers the first start')
def answer_first(context: Any) -> None:
    """Answer the first start, as another worker does."""
    context.ended = context.session.handle_start_answer(
        context.first, OrderAnswer(OrderOutcome.other_life), context.work.now
    )


@when('a stop of it is sent, the worker returns, and it is sent again')
def stop_twice(context: Any) -> None:
    """Send a stop to each of two incarnations."""
    session, work = context.session, context.work
    session.request_stop(context.run)
    context.stop = session.get_stops(work.now)[0]
    work.now += 0.1
    session.end_incarnation(2, work.now)
    context.second_stop = session.get_stops(work.now)[0]


@when('the former incarnation has answered the first stop')
def answer_stop(context: Any) -> None:
    """Apply the answer to the first stop."""
    session, work = context.session, context.work
    work.now += 0.2
    answer = OrderAnswer(OrderOutcome.done, 5)
    session.handle_stop_answer(context.stop, answer, work.now)


@when('the second stop has no answer')
def lose_stop(context: Any) -> None:
    """Lose the stop to the present incarnation."""
    answer = OrderAnswer(OrderOutcome.unknown)
    context.work.now += 0.5
    context.session.handle_stop_answer(
        context.second_stop, answer, context.work.now
    )


@then('the stop to the present incarnation is sent again')
def check_stop(context: Any) -> None:
    """Check that the stop is still due."""
    stops = context.session.get_stops(context.work.now + 1)
    assert [stop.task for stop in stops] == [TASK], stops


@when('another worker joins late')
def join_worker(context: Any) -> None:
    """Add a worker."""
    add_worker(context.work)


@when('it is reachable for announcements alone')
def announce_alone(context: Any) -> None:
    """Let the leader learn of the incarnation without an answer."""
    work = context.work
    worker = _get_late_worker(work)
    announced = evolve(
        work.scheduler.sessions[worker.worker].announced,
        incarnation=worker.incarnation,
        sequence=1,
    )
    work.scheduler.handle_announcement(announced, work.get_moment())


# Orphaned runs


@when('a job of 1 task with all CPU of a worker has been cancelled')
def cancel_large(context: Any) -> None:
    """Run a job, and cancel it."""
    work = context.work
    work.seconds_by_job[JOB] = 60
    work.accept(JOB, (make_phase(1, cpu=RESOURCES.cpu),))
    work.run(1)
    work.cancel(JOB)
    work.run(6)
    assert not any(worker.runs for worker in work.workers.values())


def _get_orphaned_run(work: WorkModel) -> ModelRun:
    worker = next(worker for worker in work.workers.values() if worker.runs)
    return next(iter(worker.runs.values()))


@when('a poll has listed it')
def wait_for_list(context: Any) -> None:
    """Wait until a poll has listed the run."""
    work = context.work
    listed = {
        session.occupied_at for session in work.scheduler.sessions.values()
    }
    while listed == {
        session.occupied_at for session in work.scheduler.sessions.values()
    }:
        work.step()


@when('its stop has been answered')
def wait_for_stop(context: Any) -> None:
    """Wait until the worker has confirmed the stop."""
    while _get_orphaned_run(context.work).stops_at is None:
        context.work.step()


@when('a job of 3 tasks with all CPU of a worker is accepted')
def accept_large(context: Any) -> None:
    """Accept a job that takes all workers."""
    context.work.seconds_by_job[OTHER_JOB] = 5
    context.work.accept(OTHER_JOB, (make_phase(3, cpu=RESOURCES.cpu),))


@then('no worker has run more than its CPU')
def check_cpu(context: Any) -> None:
    """Check that the tasks have run; the oracle has checked the room."""
    assert context.work.starts >= 1, context.work.starts
