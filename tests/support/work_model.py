"""Model of workers, faults and holders that drives the real scheduler."""

from collections import Counter
from random import Random

from attrs import define, field

from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.effects import (
    CommitBatch,
    SendStart,
    SendStop,
)
from hornbeamstair_callers.jobs.messages import JobSpec, Phase
from hornbeamstair_callers.jobs.records import (
    JobAccepted,
    JobCancelled,
    RecordListener,
)
from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.ids import (
    JobId,
    QueueName,
    RackName,
    ServiceName,
    TaskId,
    WorkerId,
    ZoneName,
)
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    ManifestPut,
    Queue,
    WorkService,
)
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_upstreams.work.leases import get_lease_terms
from hornbeamstair_upstreams.work.messages import (
    Announced,
    EndReport,
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    Room,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
    TaskNeeds,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.runs import RunState
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.table import WorkerTable

STEP = 0.05
COMMIT_SECONDS = 0.05
STOP_SECONDS = 0.2
KEPT_SHARE = 0.5
FORWARDED_SHARE = 0.5
LONGEST_LEASE = 6.0
SERVICE = ServiceName('grinding')
QUEUE = QueueName('stops')
ROOM = Room(16000, 32768)
MAX_ATTEMPTS = 3
# Longer than any scenario.
LONG_SECONDS = 1000.0
# Leases lapse and all jobs of a random play end in this time.
FINISH_SECONDS = 60


@define(eq=False)
class ModelRun:
    """Run at work on a modelled worker."""

    task: TaskId
    run: int
    cpu: int
    ends_at: float
    stops_at: float | None = None


@define(eq=False)
class ModelWorker:
    """Worker as the interface to workers describes it."""

    worker: WorkerId
    model: 'WorkModel'
    born: int = 1
    clock_offset: float = 0
    rate: float = 1
    token: int = 0
    lease_end: float = 0
    runs: dict[TaskId, ModelRun] = field(factory=dict)
    ended: list[EndReport] = field(factory=list)
    last_end: int = 0
    highest: dict[TaskId, int] = field(factory=dict)
    is_cut: bool = False
    # Time at which the lease was last over.
    lapsed_at: float = 0
    # Times of the ends of this life by their numbers.
    ended_at: dict[int, float] = field(factory=dict)
    # Run that an earlier order ends, and when; it is listed until then.
    stop_at: tuple[TaskId, float] | None = None

    def get_clock(self, now: float) -> float:
        """Get the reading of the worker's own clock."""
        return (now - self.clock_offset) * self.rate

    def crash(self, now: float) -> None:
        """Lose everything and begin a new life."""
        self.runs.clear()
        self.ended.clear()
        self.ended_at.clear()
        self.last_end = 0
        self.highest.clear()
        self.token = 0
        self.lease_end = 0
        self.clock_offset = now
        self.born += 1

    def advance(self, now: float) -> None:
        """End the runs that are over."""
        self._end_stopped(now)
        is_lapsed = self.get_clock(now) > self.lease_end
        if is_lapsed:
            self.lapsed_at = now
        for run in list(self.runs.values()):
            if is_lapsed or (run.stops_at and now >= run.stops_at):
                self.end(run, RunEnd.lost)
            elif now >= run.ends_at:
                self.end(run, self.model.draw_end())

    def is_ending(self, run: ModelRun) -> bool:
        """Tell whether a run was told to stop."""
        is_next = self.stop_at is not None and self.stop_at[0] == run.task
        return is_next or run.stops_at is not None

    def end(self, run: ModelRun, how: RunEnd) -> None:
        """List the end of a run."""
        self.runs.pop(run.task)
        self.last_end += 1
        self.ended_at[self.last_end] = self.model.now
        self.ended.append(
            EndReport(self.last_end, run.task, run.run, how, ''),
        )
        self.model.note_end(run, how)

    def is_fenced(self, token: int) -> bool:
        """Tell whether an order is of an earlier holder."""
        if token < self.token:
            return True
        self.token = token
        return False

    def start(self, order: StartOrder, now: float) -> OrderAnswer:
        """Start a run as ordered."""
        clock = self.get_clock(now)
        if self.is_fenced(order.fencing_token):
            return OrderAnswer(OrderOutcome.fenced, clock, self.born)
        self.lease_end = max(
            self.lease_end,
            min(order.lease_end, clock + LONGEST_LEASE),
        )
        known = self.runs.get(order.task)
        if known is not None and known.run == order.run:
            return OrderAnswer(OrderOutcome.done, clock, self.born)
        if order.run <= self.highest.get(order.task, 0):
            return OrderAnswer(OrderOutcome.old, clock, self.born)
        if order.lease_end < clock:
            return OrderAnswer(OrderOutcome.late, clock, self.born)
        self.highest[order.task] = order.run
        run = ModelRun(
            order.task,
            order.run,
            self.model.get_cpu(order.task),
            now + draw_seconds(self.model, order.task),
        )
        self.runs[order.task] = run
        self.model.note_start(self, run, now)
        return OrderAnswer(OrderOutcome.done, clock, self.born)

    def stop(self, order: StopOrder, now: float) -> OrderAnswer:
        """Stop a run as ordered, or refuse it later."""
        clock = self.get_clock(now)
        if self.is_fenced(order.fencing_token):
            return OrderAnswer(OrderOutcome.fenced, clock, self.born)
        highest = self.highest.get(order.task, 0)
        self.highest[order.task] = max(highest, order.run)
        run = self.runs.get(order.task)
        if run is not None and run.run <= order.run:
            run.stops_at = now + STOP_SECONDS
        return OrderAnswer(OrderOutcome.done, clock, self.born)

    def hold(self, order: HoldOrder, now: float) -> HoldAnswer:
        """Renew the lease and list the runs and ends."""
        clock = self.get_clock(now)
        if self.is_fenced(order.fencing_token):
            return HoldAnswer(OrderOutcome.fenced, clock, self.born)
        if order.lease_end is not None:
            lease_end = min(order.lease_end, clock + LONGEST_LEASE)
            self.lease_end = max(self.lease_end, lease_end)
        for report in self.ended:
            # An end from before a lapse of the lease may count as lost.
            is_counted = self.lapsed_at <= self.ended_at[report.number]
            if is_counted and report.number <= order.cursor:
                self.model.note_taken(report)
        self.ended = [
            report for report in self.ended if report.number > order.cursor
        ]
        running = tuple(
            RunReport(run.task, run.run, '', get_percent(self.model, run), 0)
            for run in self.runs.values()
            # A run that is being stopped is neither listed nor ended yet.
            if run.stops_at is None
        )
        return HoldAnswer(
            OrderOutcome.done,
            clock,
            self.born,
            running,
            tuple(self.ended),
        )

    def _end_stopped(self, now: float) -> None:
        if self.stop_at is None or now < self.stop_at[1]:
            return
        stopped = self.runs.get(self.stop_at[0])
        self.stop_at = None
        if stopped is not None:
            self.end(stopped, RunEnd.lost)


@define(eq=False)
class ModelListener(RecordListener):
    """Passes applied records to the present holder."""

    model: 'WorkModel'

    def on_applied(self, record: Record) -> None:
        """Tell the holder."""
        self.model.scheduler.handle_applied(record, self.model.get_moment())


@define(eq=False)
class WorkModel:
    """Holder, workers and faults on one clock; the oracle checks each start.

    Commits take a while; a new holder sees what was committed. Orders and
    answers are lost, or carried out seconds later, as the seed has it.
    """

    rng: Random
    worker_count: int = 3
    lost_share: float = 0.05
    late_share: float = 0.03
    fail_share: float = 0.05
    # Share of the starts that a worker turns away, having done nothing.
    refuse_share: float = 0.03
    now: float = 100
    term: int = 1
    workers: dict[WorkerId, ModelWorker] = field(factory=dict)
    tables: SchedulerState = field(init=False)
    machine: TableStateMachine = field(init=False)
    scheduler: Scheduler = field(init=False)
    # Batches on their way into the log, with the time of their commit.
    commits: list[tuple[float, Scheduler, CommitBatch]] = field(factory=list)
    # Orders that a life of a worker carries out later than newer ones. They
    # came over a connection of that life and end with it.
    late: list[tuple[float, int, StartOrder | StopOrder]] = field(
        factory=list,
    )
    looked_at: dict[WorkerId, float] = field(factory=dict)
    noted_done: set[TaskId] = field(factory=set)
    noted_failures: 'Counter[TaskId]' = field(factory=Counter)
    done: set[TaskId] = field(factory=set)
    cancelled: set[JobId] = field(factory=set)
    starts: int = 0
    replaced: int = 0
    phases: dict[str, Phase] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the workers and the first holder."""
        self.tables = SchedulerState(
            JobTable(),
            ManifestTable(),
            WorkerTable(),
        )
        self.machine = TableStateMachine(
            (self.tables.jobs, self.tables.manifest, self.tables.workers),
        )
        self.apply((ManifestPut(make_manifest()),))
        for number in range(self.worker_count):
            worker = WorkerId(f'w{number}')
            self.workers[worker] = ModelWorker(
                worker,
                self,
                clock_offset=self.rng.uniform(0, 50),
                rate=self.rng.uniform(0.98, 1),
            )
        self.take_over()
        self.tables.jobs.record_listener = ModelListener(self)

    # Input

    def apply(self, records: tuple[Record, ...]) -> None:
        """Commit records through their encoding, as the log does."""
        self.machine.apply(0, self.machine.codec.write(records))

    def accept(self, job: JobId, phases: tuple[Phase, ...]) -> None:
        """Accept a job."""
        spec = JobSpec(job, 'text', phases)
        for number, phase in enumerate(phases):
            self.phases[f'{job}.{number}'] = phase
        self.apply((JobAccepted(spec, QUEUE, SERVICE, self.now),))

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.cancelled.add(job)
        self.apply((JobCancelled(job, self.now),))

    def take_over(self, held: tuple[WorkerId, ...] = ()) -> None:
        """Have a new holder take over; the former one is gone at once."""
        under_way = self.commits
        self.commits = []
        # What was in the log when the leader changed may still count. The
        # rest is lost, or forwarded to the new leader.
        for found in under_way:
            if self.rng.random() < KEPT_SHARE:
                self.apply(found[2].records)
            elif self.rng.random() < FORWARDED_SHARE:
                self.commits.append((self.now + COMMIT_SECONDS, *found[1:]))
        self.machine.restore(self.machine.get_snapshot())
        self.term += 1
        self.scheduler = Scheduler(
            self.tables,
            self.term,
            get_lease_terms(LONGEST_LEASE, STOP_SECONDS),
        )
        self.scheduler.start(self.get_moment(), held)
        self.looked_at.clear()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self) -> None:
        """Let one step of time pass."""
        self.now += STEP
        for worker in self.workers.values():
            worker.advance(self.now)
        self._carry_out_late()
        self._finish_commits()
        self._announce()
        self._look()
        self.scheduler.tick(self.get_moment())
        self._execute_effects()
        self.check_capacity()

    def get_moment(self) -> Moment:
        """Get the present time."""
        return Moment(self.now, self.now)

    # Oracle

    def get_cpu(self, task: TaskId) -> int:
        """Get the processor that a task takes."""
        return self.get_phase(task).needs.room.cpu

    def get_phase(self, task: TaskId) -> Phase:
        """Get the phase of a task."""
        job, _, number, _ = task.split('.')
        return self.phases[f'{job}.{number}']

    def note_start(
        self,
        worker: ModelWorker,
        run: ModelRun,
        now: float,
    ) -> None:
        """Check a start against the promises."""
        self.starts += 1
        others = [
            other.worker
            for other in self.workers.values()
            if other is not worker and run.task in other.runs
        ]
        assert not others, f'{run.task} runs on {others} and {worker.worker}'
        assert run.task not in self.noted_done, f'{run.task} was done'
        failures = self.noted_failures[run.task]
        lasts = self.get_phase(run.task).needs.lasts
        assert lasts or failures < MAX_ATTEMPTS, f'{run.task} has failed'
        job, occurrence, number, _ = run.task.split('.')
        for before in self.phases[f'{job}.{number}'].after:
            for index in range(self.phases[f'{job}.{before}'].count):
                earlier = TaskId(f'{job}.{occurrence}.{before}.{index}')
                assert earlier in self.done, f'{run.task} before {earlier}'

    def note_end(self, run: ModelRun, how: RunEnd) -> None:
        """Note that a run ended by itself."""
        if how == RunEnd.done:
            self.done.add(run.task)

    def note_taken(self, report: EndReport) -> None:
        """Note that the holder counts on an end."""
        lasts = self.get_phase(report.task).needs.lasts
        if report.end == RunEnd.done and not lasts:
            self.noted_done.add(report.task)
        if report.end == RunEnd.failed:
            self.noted_failures[report.task] += 1

    def check_capacity(self) -> None:
        """Check that no worker is over its room."""
        for worker in self.workers.values():
            used = sum(run.cpu for run in worker.runs.values())
            assert used <= ROOM.cpu, f'{worker.worker} runs {used}'

    def draw_end(self) -> RunEnd:
        """Draw how a run ends by itself."""
        fails = self.rng.random() < self.fail_share
        return RunEnd.failed if fails else RunEnd.done

    # Passing of messages

    def _announce(self) -> None:
        for worker in self.workers.values():
            if worker.is_cut:
                continue
            announced = make_announced(worker.worker, worker.born)
            if self.scheduler.note_announced(announced, self.get_moment()):
                due = self.now + COMMIT_SECONDS
                batch = CommitBatch((WorkerSeen(announced),))
                self.commits.append((due, self.scheduler, batch))

    def _look(self) -> None:
        for name, session in list(self.scheduler.sessions.items()):
            due = self.looked_at.get(name, 0) + self.rng.choice((0, 0.3))
            if self.now < due or not session.numbers.is_recorded():
                continue
            self.looked_at[name] = self.now
            answer = look_at(self, session.get_hold(self.now))
            sent_at = self.now - STEP / 2
            moment = self.get_moment()
            self.scheduler.handle_poll(session, answer, sent_at, moment)

    def _execute_effects(self) -> None:
        for effect in self.scheduler.drain_effects():
            match effect:
                case CommitBatch():
                    due = self.now + COMMIT_SECONDS
                    self.commits.append((due, self.scheduler, effect))
                case SendStart(session, order):
                    self._start(session, order)
                case SendStop(session, order):
                    self._stop(session, order)

    def _start(self, session: WorkerSession, order: StartOrder) -> None:
        outcome = find_outcome(self, order)
        if outcome is None and self.rng.random() < self.refuse_share:
            outcome = OrderOutcome.refused
        answer = OrderAnswer(outcome or OrderOutcome.unknown)
        if outcome is None:
            started = self.workers[order.worker].start(order, self.now)
            answer = lose_some(self, started)
        moment = self.get_moment()
        self.scheduler.handle_start_answer(session, order, answer, moment)

    def _stop(self, session: WorkerSession, order: StopOrder) -> None:
        outcome = find_outcome(self, order)
        answer = OrderAnswer(outcome or OrderOutcome.unknown)
        if outcome is None:
            stopped = self.workers[order.worker].stop(order, self.now)
            answer = lose_some(self, stopped)
        moment = self.get_moment()
        self.scheduler.handle_stop_answer(session, order, answer, moment)

    def _carry_out_late(self) -> None:
        due = [found for found in self.late if found[0] <= self.now]
        self.late = [found for found in self.late if found[0] > self.now]
        for _, born, order in due:
            worker = self.workers.get(order.worker)
            if worker is None or worker.born != born:
                continue
            if isinstance(order, StopOrder):
                worker.stop(order, self.now)
            else:
                worker.start(order, self.now)

    def _finish_commits(self) -> None:
        while self.commits and self.commits[0][0] <= self.now:
            _, scheduler, batch = self.commits.pop(0)
            self.apply(batch.records)
            if scheduler is self.scheduler:
                scheduler.handle_committed(batch)
                # The planner of moves asks at any time.
                get_demands(self.scheduler, self.get_moment())


def look_at(model: WorkModel, order: HoldOrder) -> HoldAnswer:
    """Look at a worker; some answers are lost."""
    worker = model.workers.get(order.worker)
    if worker is None:
        return HoldAnswer(OrderOutcome.other_life)
    if worker.is_cut:
        return HoldAnswer(OrderOutcome.unknown)
    answer = worker.hold(order, model.now)
    if model.rng.random() < model.lost_share:
        return HoldAnswer(OrderOutcome.unknown)
    return answer


def find_outcome(
    model: WorkModel,
    order: StartOrder | StopOrder,
) -> OrderOutcome | None:
    """Find what becomes of an order that its worker does not get at once."""
    worker = model.workers.get(order.worker)
    if worker is None:
        return OrderOutcome.other_life
    if worker.is_cut:
        # The sender gives up and resets the connection: nothing comes later.
        return OrderOutcome.unknown
    if model.rng.random() < model.late_share:
        delay = model.rng.uniform(2, 12)
        model.late.append((model.now + delay, worker.born, order))
        return OrderOutcome.unknown
    return None


def lose_some(model: WorkModel, answer: OrderAnswer) -> OrderAnswer:
    """Lose a share of the answers."""
    if model.rng.random() < model.lost_share:
        return OrderAnswer(OrderOutcome.unknown)
    return answer


def replace_worker(model: WorkModel, worker: WorkerId) -> None:
    """Have another worker take the address of one that crashed."""
    found = model.workers.pop(worker)
    found.crash(model.now)
    model.replaced += 1
    found.worker = WorkerId(f'w{model.worker_count + model.replaced}')
    model.workers[found.worker] = found


def stop_all(model: WorkModel, worker: WorkerId) -> None:
    """Have all that runs on a worker stopped."""
    session = model.scheduler.sessions.get(worker)
    for run in () if session is None else session.runs.values():
        if run.state == RunState.running:
            session.want_stop(run)


def finish(model: WorkModel) -> None:
    """Mend everything and check that the work goes on."""
    for worker in model.workers.values():
        worker.is_cut = False
    model.lost_share = 0
    model.late_share = 0
    model.refuse_share = 0
    for lasting in list(model.tables.jobs.get_open()):
        if lasting.spec.lasts:
            model.cancel(lasting.spec.job)
    model.run(FINISH_SECONDS)
    left = [job.spec.job for job in model.tables.jobs.get_open()]
    assert not left, f'{left} are stuck'


def get_percent(model: WorkModel, run: ModelRun) -> float:
    """Get the progress that a run reports."""
    return 100 if model.get_phase(run.task).needs.lasts else 50


def draw_seconds(model: WorkModel, task: TaskId) -> float:
    """Draw how long a run goes on."""
    needs = model.get_phase(task).needs
    is_steady = needs.lasts and needs.max_away is not None
    return LONG_SECONDS if is_steady else model.rng.uniform(0.2, 1.5)


def count_at_work(model: WorkModel, group: str) -> int:
    """Count the runs of a phase that go on, on workers in reach."""
    return sum(
        run.task.startswith(f'{group}.') and not worker.is_ending(run)
        for worker in model.workers.values()
        if not worker.is_cut
        for run in worker.runs.values()
    )


def make_announced(worker: WorkerId, born: int) -> Announced:
    """Make the announcement of a modelled worker."""
    return Announced(
        worker=worker,
        service=SERVICE,
        address='127.0.0.1',
        port=1,
        zone=ZoneName('muscat'),
        room=ROOM,
        labels=('a', 'r1'),
        rack=RackName('r1'),
        incarnation=born,
        sequence=1,
        is_leaving=False,
    )


def make_manifest() -> Manifest:
    """Make a manifest with one queue."""
    queue = Queue(
        queue=QUEUE,
        host='host',
        path_prefix='/stops/',
        service=SERVICE,
        call_timeout=3,
        priority=0,
        max_attempts=MAX_ATTEMPTS,
        stretch=2,
        target_seconds=1,
    )
    service = WorkService(SERVICE, guards_room=False, is_standby=False)
    return Manifest(1, (queue,), (service,), b'{}')


def make_phase(
    count: int,
    cpu: int,
    after: tuple[int, ...] = (),
    *,
    lasts: bool = False,
    max_away: int | None = None,
    memory: int = 100,
) -> Phase:
    """Make a phase."""
    needs = TaskNeeds(
        Room(cpu, memory),
        1.0,
        lasts=lasts,
        max_away=max_away,
        spread_limit=1 if lasts else 0,
    )
    return Phase(count, needs, after)
