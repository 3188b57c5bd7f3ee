"""Model of workers, faults and leaders that drives the real scheduler."""

from collections import Counter
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field

from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.effects import (
    CommitBatch,
    SendStart,
    SendStop,
)
from hornbeamstair_callers.jobs.messages import JobSpec, Phase, get_job_id
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_callers.jobs.records import (
    JobAccepted,
    JobCancelled,
    RecordListener,
    RunEnded,
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
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    Resources,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
    TaskNeeds,
    WorkerAnnouncement,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.runs import RunState
from hornbeamstair_upstreams.work.sender import ORDER_VALID_SECONDS
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_used_resources,
)
from hornbeamstair_upstreams.work.table import WorkerTable

STEP_SECONDS = 0.05
COMMIT_SECONDS = 0.05
STOP_SECONDS = 0.2
COMMITTED_SHARE = 0.5
FORWARDED_SHARE = 0.5
LONGEST_LEASE = 6.0
SERVICE = ServiceName('grinding')
QUEUE = QueueName('stops')
RESOURCES = Resources(16000, 32768)
MAX_ATTEMPTS = 3
# Most orders that the leader sends to a worker at a time.
MAX_CONNECTIONS = 2
# Duration of endless runs; longer than any scenario.
ENDLESS_SECONDS = 1000.0
# Time after which starts respect the changed resources of a worker.
NOTICE_SECONDS = 1.0
# Usual time for which a crashed worker is down.
DOWN_SECONDS = 3.0
# Workers that a task may crash, and starts of it after that, before its starts
# break the budget.
MAX_CRASHES = 3
MAX_LATE_STARTS = 3
# In this time all leases expire and all jobs of a random simulation end.
FINISH_SECONDS = 60


@define(eq=False)
class ModelRun:
    """Active run on a modelled worker."""

    task: TaskId
    run: int
    cpu: int
    ends_at: float
    stops_at: float | None = None
    # Started by an order that no leader could have prevented.
    is_beyond_reach: bool = False


@define(eq=False)
class ModelWorker:
    """Worker that follows the specification of the worker interface."""

    worker: WorkerId
    model: 'WorkModel'
    # Another life of the worker has the same port.
    port: int = 1
    incarnation: int = 1
    clock_offset: float = 0
    clock_rate: float = 1
    fencing_token: int = 0
    lease_end: float = 0
    runs: dict[TaskId, ModelRun] = field(factory=dict)
    ended: list[EndReport] = field(factory=list)
    last_end_number: int = 0
    # Highest run number of each task that was ordered to start or stop.
    highest_runs: dict[TaskId, int] = field(factory=dict)
    is_partitioned: bool = False
    # Connections of the leader, which it has to open again after a partition.
    connections: int = MAX_CONNECTIONS
    # Answers polls, but neither executes nor answers starts.
    ignores_starts: bool = False
    # The incarnation was polled by a leader that knew it.
    is_met: bool = False
    # Refuses all starts without any effect.
    refuses_starts: bool = False
    # Announces nothing, as between a restart and the first announcement.
    is_unannounced: bool = False
    labels: tuple[str, ...] = ('a', 'r1')
    rack: RackName = RackName('r1')
    is_leaving: bool = False
    room: Resources = RESOURCES
    # Time of the last change of its resources, and the most runs since then.
    resized_at: float = 0
    most_runs: int = 0
    # Latest time at which the lease was expired.
    lease_expired_at: float = 0
    # Times of the ends of this incarnation, by number.
    end_times: dict[int, float] = field(factory=dict)
    # Run that a previous stop order ends, and when; polls list it until then.
    pending_stop: tuple[TaskId, float] | None = None

    def get_clock(self, now: float) -> float:
        """Get the time of the worker's own clock."""
        return (now - self.clock_offset) * self.clock_rate

    def crash(self, now: float) -> None:
        """Lose all state and start a new incarnation."""
        self.runs.clear()
        self.ended.clear()
        self.end_times.clear()
        self.last_end_number = 0
        self.highest_runs.clear()
        self.fencing_token = 0
        self.is_met = False
        self.lease_end = 0
        self.clock_offset = now
        self.incarnation += 1

    def advance(self, now: float) -> None:
        """End the runs that are due to end."""
        self._end_stopped(now)
        is_lease_expired = self.get_clock(now) > self.lease_end
        if is_lease_expired:
            self.lease_expired_at = now
        for run in list(self.runs.values()):
            if is_lease_expired or (run.stops_at and now >= run.stops_at):
                self.end(run, RunEnd.lost)
            elif now >= run.ends_at:
                self.end(run, self.model.draw_end())

    def is_running(self, task: TaskId) -> bool:
        """Return whether a task runs that the leader has started."""
        run = self.runs.get(task)
        return run is not None and not run.is_beyond_reach

    def is_stopping(self, run: ModelRun) -> bool:
        """Return whether a run was ordered to stop."""
        is_stop_pending = (
            self.pending_stop is not None and self.pending_stop[0] == run.task
        )
        return is_stop_pending or run.stops_at is not None

    def end(self, run: ModelRun, end: RunEnd) -> None:
        """End a run and list its end."""
        self.runs.pop(run.task)
        self.last_end_number += 1
        self.end_times[self.last_end_number] = self.model.now
        self.ended.append(
            EndReport(self.last_end_number, run.task, run.run, end, ''),
        )
        self.model.add_end(run, end)

    def is_fenced(self, fencing_token: int) -> bool:
        """Return whether an order is of a previous leader."""
        if fencing_token < self.fencing_token:
            return True
        self.fencing_token = fencing_token
        return False

    def start(self, order: StartOrder, now: float) -> OrderAnswer:
        """Start a run as ordered.

        The answer to a start or a stop does not name the incarnation.
        """
        clock = self.get_clock(now)
        if self.is_fenced(order.fencing_token):
            return OrderAnswer(OrderOutcome.fenced, clock)
        self.lease_end = max(
            self.lease_end,
            min(order.lease_end, clock + LONGEST_LEASE),
        )
        known_run = self.runs.get(order.task)
        if known_run is not None and known_run.run == order.run:
            return OrderAnswer(OrderOutcome.done, clock)
        if order.run <= self.highest_runs.get(order.task, 0):
            return OrderAnswer(OrderOutcome.old, clock)
        if order.lease_end < clock:
            return OrderAnswer(OrderOutcome.late, clock)
        self.highest_runs[order.task] = order.run
        run = ModelRun(
            order.task,
            order.run,
            self.model.get_cpu(order.task),
            now
            + draw_run_seconds(self.model, order.task)
            * get_slowdown(self, order.task),
            is_beyond_reach=is_beyond_reach(self.model, self, order),
        )
        self.runs[order.task] = run
        self.model.check_start(self, run, now)
        crash_if_deadly(self.model, self, run.task)
        return OrderAnswer(OrderOutcome.done, clock)

    def stop(self, order: StopOrder, now: float) -> OrderAnswer:
        """Stop a run as ordered; refuse later starts of it."""
        clock = self.get_clock(now)
        if self.is_fenced(order.fencing_token):
            return OrderAnswer(OrderOutcome.fenced, clock)
        highest_run = self.highest_runs.get(order.task, 0)
        self.highest_runs[order.task] = max(highest_run, order.run)
        run = self.runs.get(order.task)
        if run is not None and run.run <= order.run:
            run.stops_at = now + STOP_SECONDS
        return OrderAnswer(OrderOutcome.done, clock)

    def poll(self, order: PollOrder, now: float) -> PollAnswer:
        """Renew the lease and list the runs and ends."""
        clock = self.get_clock(now)
        if self.is_fenced(order.fencing_token):
            return PollAnswer(OrderOutcome.fenced, clock, self.incarnation)
        if order.lease_end is not None:
            lease_end = min(order.lease_end, clock + LONGEST_LEASE)
            self.lease_end = max(self.lease_end, lease_end)
        for report in self.ended:
            # An end from before an expiry of the lease may count as lost.
            is_counted = self.lease_expired_at <= self.end_times[report.number]
            if is_counted and report.number <= order.cursor:
                self.model.add_acknowledged(report)
        self.ended = [
            report for report in self.ended if report.number > order.cursor
        ]
        running = tuple(
            RunReport(run.task, run.run, '', get_percent(self.model, run), 0)
            for run in self.runs.values()
            # A run that is being stopped is neither listed nor ended yet.
            if run.stops_at is None
        )
        return PollAnswer(
            OrderOutcome.done,
            clock,
            self.incarnation,
            running,
            tuple(self.ended),
        )

    def execute(
        self,
        order: StartOrder | StopOrder | PollOrder,
        now: float,
    ) -> None:
        """Execute an order whose answer is lost."""
        match order:
            case StartOrder():
                self.start(order, now)
            case StopOrder():
                self.stop(order, now)
            case PollOrder():
                self.poll(order, now)

    def _end_stopped(self, now: float) -> None:
        if self.pending_stop is None or now < self.pending_stop[1]:
            return
        stopped = self.runs.get(self.pending_stop[0])
        self.pending_stop = None
        if stopped is not None:
            self.end(stopped, RunEnd.lost)


@define(eq=False)
class ModelListener(RecordListener):
    """Passes applied records to the current leader."""

    model: 'WorkModel'

    def on_applied(self, record: Record) -> None:
        """Pass the record to the scheduler."""
        if isinstance(record, RunEnded):
            self.model.ends.append(record)
        self.model.scheduler.handle_applied(record, self.model.get_moment())


@define(eq=False)
class WorkModel:
    """Leader, workers and faults on one clock; an oracle checks each start.

    Commits take time; a new leader sees what was committed. The seed decides
    which answers are lost and which orders are executed seconds later.
    """

    rng: Random
    worker_count: int = 3
    lost_share: float = 0.05
    delayed_share: float = 0.03
    fail_share: float = 0.05
    # Share of the starts that a worker refuses without any effect.
    refuse_share: float = 0.03
    now: float = 100
    term: int = 1
    workers: dict[WorkerId, ModelWorker] = field(factory=dict)
    tables: SchedulerState = field(init=False)
    machine: TableStateMachine = field(init=False)
    scheduler: Scheduler = field(init=False)
    # Batches being committed, with the time of their commit.
    commits: list[tuple[float, Scheduler, CommitBatch]] = field(factory=list)
    # The leader has lost its lease, and sends no start orders.
    sends_no_starts: bool = False
    # Senders of start orders that fail before they have an outcome.
    failing_senders: int = 0
    # No record is committed.
    is_log_stalled: bool = False
    # Next starts and polls that expire before they are sent.
    expiring_starts: int = 0
    expiring_polls: int = 0
    # Orders that a worker executes late, possibly after newer ones. They reach
    # whichever incarnation the worker has by then.
    delayed_orders: list[tuple[float, StartOrder | StopOrder | PollOrder]] = (
        field(factory=list)
    )
    # Delays of the next starts, and of the next polls of a worker, each of
    # which has no answer.
    start_delays: list[float] = field(factory=list)
    poll_delays: dict[WorkerId, list[float]] = field(factory=dict)
    # Delays of the next polls that acknowledge ends, which have no answer.
    acknowledgement_delays: list[float] = field(factory=list)
    # Share of the polls that are executed late and have no answer.
    delayed_polls_share: float = 0
    # Ends of runs that were started beyond the reach of a leader.
    ignored_ends: set[tuple[TaskId, int]] = field(factory=set)
    # Runs that were over on a worker when it answered a poll.
    settled_runs: set[tuple[TaskId, int]] = field(factory=set)
    # Share of the starts that a relay holds for as long as they are valid. They
    # reach whichever incarnation the worker has by then.
    held_share: float = 0
    held_orders: list[tuple[float, StartOrder]] = field(factory=list)
    polled_at: dict[WorkerId, float] = field(factory=dict)
    # Polls before this time reach no worker.
    polled_from: float = 0
    # Shortest interval of the polls of a worker.
    poll_seconds: float = 0
    acknowledged_done: set[TaskId] = field(factory=set)
    acknowledged_failures: 'Counter[TaskId]' = field(factory=Counter)
    done: set[TaskId] = field(factory=set)
    cancelled: set[JobId] = field(factory=set)
    starts: int = 0
    starts_by_task: 'Counter[TaskId]' = field(factory=Counter)
    replaced: int = 0
    # Recorded ends of runs.
    ends: list[RunEnded] = field(factory=list)
    # Shortest and longest duration of a run.
    short_seconds: tuple[float, float] = (0.2, 1.5)
    # Tasks that crash each worker that starts them.
    deadly: set[TaskId] = field(factory=set)
    # Whether a crashed worker returns under its old name.
    keeps_names: bool = False
    crashes: 'Counter[TaskId]' = field(factory=Counter)
    late_starts: 'Counter[TaskId]' = field(factory=Counter)
    # Time from the start of a deadly task until its worker crashes.
    deadly_seconds: float = 0
    # Workers that are about to crash, with their incarnation, and when.
    crashing: list[tuple[float, ModelWorker, int]] = field(factory=list)
    # Time for which a worker that a task has crashed is down.
    down_seconds: float = DOWN_SECONDS
    # Crashed workers, with the time of their return.
    down: list[tuple[float, ModelWorker]] = field(factory=list)
    phases: dict[str, Phase] = field(factory=dict)
    make_policies: Callable[[], SchedulingPolicies] = SchedulingPolicies
    # Runs take this many times as long away from the rack of their data.
    rack_factor: float = 1
    # Fixed durations of the runs of some jobs.
    seconds_by_job: dict[JobId, float] = field(factory=dict)
    # Called after each step.
    observers: list[Callable[[], None]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start the workers and the first leader."""
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
                port=number + 1,
                clock_offset=self.rng.uniform(0, 50),
                clock_rate=self.rng.uniform(0.98, 1),
            )
        self.change_leader()
        self.tables.jobs.record_listener = ModelListener(self)

    # Input

    def apply(self, records: tuple[Record, ...]) -> None:
        """Encode and apply records, as the replicated log does."""
        self.machine.apply(0, self.machine.codec.encode(records))

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

    def change_leader(self, reserved: tuple[WorkerId, ...] = ()) -> None:
        """Replace the leader at once by a new one."""
        pending = self.commits
        self.commits = []
        # Entries that were already replicated may still be committed. The rest
        # is lost, or forwarded to the new leader.
        for due in pending:
            if self.rng.random() < COMMITTED_SHARE:
                self.apply(due[2].records)
            elif self.rng.random() < FORWARDED_SHARE:
                self.commits.append((self.now + COMMIT_SECONDS, *due[1:]))
        self.machine.restore(self.machine.get_snapshot())
        self.term += 1
        self.scheduler = Scheduler(
            self.tables,
            self.term,
            get_lease_terms(LONGEST_LEASE, STOP_SECONDS),
            policies=self.make_policies(),
        )
        self.scheduler.start(self.get_moment(), reserved)
        self.polled_at.clear()

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self) -> None:
        """Advance the clock by one step."""
        self.now += STEP_SECONDS
        for worker in self.workers.values():
            worker.advance(self.now)
        crash_and_return(self)
        self._deliver_delayed()
        self._apply_due_commits()
        # Orders are sent as soon as their records are applied.
        self._execute_effects()
        self._announce()
        self._poll()
        self.scheduler.tick(self.get_moment())
        self._execute_effects()
        self.check_capacity()
        for observer in self.observers:
            observer()

    def get_moment(self) -> Moment:
        """Get the current time."""
        return Moment(self.now, self.now)

    # Oracle

    def get_cpu(self, task: TaskId) -> int:
        """Get the CPU that a task takes."""
        return get_used_resources(self.get_phase(task).needs).cpu

    def get_phase(self, task: TaskId) -> Phase:
        """Get the phase of a task."""
        job, _, number, _ = task.split('.')
        return self.phases[f'{job}.{number}']

    def check_start(
        self,
        worker: ModelWorker,
        run: ModelRun,
        now: float,
    ) -> None:
        """Check that a start breaks no guarantee."""
        if run.is_beyond_reach:
            return
        self.starts += 1
        self.starts_by_task[run.task] += 1
        others = [
            other.worker
            for other in self.workers.values()
            if other is not worker and other.is_running(run.task)
        ]
        assert not others, f'{run.task} runs on {others} and {worker.worker}'
        check_room(self, worker)
        assert run.task not in self.acknowledged_done, f'{run.task} was done'
        failures = self.acknowledged_failures[run.task]
        lasts = self.get_phase(run.task).needs.lasts
        assert lasts or failures < MAX_ATTEMPTS, f'{run.task} has failed'
        job, occurrence, number, _ = run.task.split('.')
        for before in self.phases[f'{job}.{number}'].after:
            for index in range(self.phases[f'{job}.{before}'].count):
                earlier = TaskId(f'{job}.{occurrence}.{before}.{index}')
                assert earlier in self.done, f'{run.task} before {earlier}'

    def add_end(self, run: ModelRun, end: RunEnd) -> None:
        """Add the end of a run as the worker sees it."""
        if end == RunEnd.done:
            self.done.add(run.task)
        if run.is_beyond_reach:
            self.ignored_ends.add((run.task, run.run))

    def add_acknowledged(self, report: EndReport) -> None:
        """Add an end that the leader has acknowledged."""
        if (report.task, report.run) in self.ignored_ends:
            return
        lasts = self.get_phase(report.task).needs.lasts
        if report.end == RunEnd.done and not lasts:
            self.acknowledged_done.add(report.task)
        if report.end == RunEnd.failed:
            self.acknowledged_failures[report.task] += 1

    def check_capacity(self) -> None:
        """Check that no worker exceeds its CPU."""
        for worker in self.workers.values():
            used = sum(
                run.cpu
                for run in worker.runs.values()
                if not run.is_beyond_reach
            )
            assert used <= RESOURCES.cpu, f'{worker.worker} runs {used}'

    def draw_end(self) -> RunEnd:
        """Draw how a run ends by itself."""
        fails = self.rng.random() < self.fail_share
        return RunEnd.failed if fails else RunEnd.done

    # Delivery of messages

    def _announce(self) -> None:
        for worker in self.workers.values():
            if worker.is_partitioned or worker.is_unannounced:
                continue
            announced = evolve(
                make_worker_announcement(worker.worker, worker.incarnation),
                port=worker.port,
                room=worker.room,
                labels=worker.labels,
                rack=worker.rack,
                is_leaving=worker.is_leaving,
            )
            if self.scheduler.handle_announcement(announced, self.get_moment()):
                due = self.now + COMMIT_SECONDS
                batch = CommitBatch((WorkerSeen(announced),))
                self.commits.append((due, self.scheduler, batch))

    def _poll(self) -> None:
        for name, session in list(self.scheduler.sessions.items()):
            delay = max(self.rng.choice((0, 0.3)), self.poll_seconds)
            due = self.polled_at.get(name, 0) + delay
            if self.now < due or not session.is_poll_due(self.now):
                continue
            self.polled_at[name] = self.now
            answer = poll_worker(self, session.make_poll(self.now))
            sent_at = self.now - STEP_SECONDS / 2
            moment = self.get_moment()
            self.scheduler.handle_poll(session, answer, sent_at, moment)

    def _execute_effects(self) -> None:
        for effect in self.scheduler.drain_effects():
            match effect:
                case CommitBatch():
                    due = self.now + COMMIT_SECONDS
                    self.commits.append((due, self.scheduler, effect))
                case SendStart(session, order) if self.sends_no_starts:
                    session.handle_unsent(order)
                case SendStart() if self.failing_senders:
                    self.failing_senders -= 1
                case SendStart(session, order):
                    self._start(session, order)
                case SendStop(session, order):
                    self._stop(session, order)

    def _start(self, session: WorkerSession, order: StartOrder) -> None:
        outcome = find_undelivered_outcome(self, order)
        if outcome is None and refuses_start(self, order):
            outcome = OrderOutcome.refused
        answer = OrderAnswer(outcome or OrderOutcome.unknown)
        if outcome is None:
            started = self.workers[order.worker].start(order, self.now)
            answer = drop_randomly(self, started)
        moment = self.get_moment()
        self.scheduler.handle_start_answer(session, order, answer, moment)

    def _stop(self, session: WorkerSession, order: StopOrder) -> None:
        outcome = find_undelivered_outcome(self, order)
        answer = OrderAnswer(outcome or OrderOutcome.unknown)
        if outcome is None:
            stopped = self.workers[order.worker].stop(order, self.now)
            answer = drop_randomly(self, stopped)
        moment = self.get_moment()
        self.scheduler.handle_stop_answer(session, order, answer, moment)

    def _deliver_delayed(self) -> None:
        due = [
            delayed for delayed in self.delayed_orders if delayed[0] <= self.now
        ]
        self.delayed_orders = [
            delayed for delayed in self.delayed_orders if delayed[0] > self.now
        ]
        deliver_held(self)
        for _, order in due:
            worker = self.workers.get(order.worker)
            if worker is not None:
                worker.execute(order, self.now)

    def _apply_due_commits(self) -> None:
        if self.is_log_stalled:
            return
        while self.commits and self.commits[0][0] <= self.now:
            _, scheduler, batch = self.commits.pop(0)
            self.apply(batch.records)
            if scheduler is self.scheduler:
                scheduler.handle_committed(batch)
                # The planner of moves may ask for demands at any time.
                get_demands(self.scheduler, self.get_moment())


def pause_leader(model: WorkModel, seconds: float) -> None:
    """Advance the clock of the workers while the leader stands still."""
    end = model.now + seconds
    while model.now < end:
        model.now += STEP_SECONDS
        for worker in model.workers.values():
            worker.advance(model.now)


def poll_worker(model: WorkModel, order: PollOrder) -> PollAnswer:
    """Poll a worker; some answers are lost."""
    if model.expiring_polls:
        model.expiring_polls -= 1
        return PollAnswer(OrderOutcome.unsent)
    worker = find_addressee(model, order)
    if worker is None:
        return PollAnswer(OrderOutcome.other_life)
    is_lost = worker.is_partitioned or model.now < model.polled_from
    if is_lost or delay_poll(model, order):
        return PollAnswer(OrderOutcome.unknown)
    worker.connections = MAX_CONNECTIONS
    answer = worker.poll(order, model.now)
    known = model.scheduler.sessions[order.worker].announced.incarnation
    worker.is_met = worker.is_met or known == worker.incarnation
    if model.rng.random() < model.lost_share:
        return PollAnswer(OrderOutcome.unknown)
    model.settled_runs.update(
        (task, run)
        for task, highest_run in worker.highest_runs.items()
        for run in range(1, highest_run + 1)
        if task not in worker.runs
    )
    return answer


def delay_poll(model: WorkModel, order: PollOrder) -> bool:
    """Return whether a poll is executed late, without an answer."""
    delays = model.poll_delays.get(order.worker)
    if delays and order.lease_end is not None:
        model.delayed_orders.append((model.now + delays.pop(0), order))
        return True
    if model.acknowledgement_delays and order.cursor:
        due = model.now + model.acknowledgement_delays.pop(0)
        model.delayed_orders.append((due, order))
        return True
    if not model.delayed_polls_share:
        return False
    is_delayed = model.rng.random() < model.delayed_polls_share
    if is_delayed:
        due = model.now + model.rng.uniform(2, 12)
        model.delayed_orders.append((due, order))
    return is_delayed


def is_beyond_reach(
    model: WorkModel,
    worker: ModelWorker,
    order: StartOrder | StopOrder | PollOrder,
) -> bool:
    """Return whether a late start comes before the leader could prevent it.

    The run was over on a former incarnation, and the present one has not been
    polled by a leader that knew it.
    """
    if not isinstance(order, StartOrder) or worker.is_met:
        return False
    return (order.task, order.run) in model.settled_runs


def find_addressee(
    model: WorkModel,
    order: StartOrder | StopOrder | PollOrder,
) -> ModelWorker | None:
    """Find the worker of an order unless another one has its address."""
    worker = model.workers.get(order.worker)
    is_replaced = worker is not None and any(
        other.port == worker.port and not other.is_partitioned
        for other in model.workers.values()
        if other is not worker
    )
    return None if is_replaced else worker


def find_undelivered_outcome(
    model: WorkModel,
    order: StartOrder | StopOrder,
) -> OrderOutcome | None:
    """Find the outcome of an order that is not delivered at once."""
    if model.expiring_starts and isinstance(order, StartOrder):
        model.expiring_starts -= 1
        return OrderOutcome.unsent
    worker = find_addressee(model, order)
    if worker is None:
        return OrderOutcome.other_life
    if worker.is_partitioned:
        return lose_order(worker)
    if worker.ignores_starts and isinstance(order, StartOrder):
        return OrderOutcome.unknown
    if model.start_delays and isinstance(order, StartOrder):
        due = model.now + model.start_delays.pop(0)
        model.delayed_orders.append((due, order))
        return OrderOutcome.unknown
    if model.rng.random() < model.delayed_share:
        delay = model.rng.uniform(2, 12)
        model.delayed_orders.append((model.now + delay, order))
        return OrderOutcome.unknown
    is_start = isinstance(order, StartOrder) and model.held_share > 0
    if is_start and model.rng.random() < model.held_share:
        due = model.now + model.rng.uniform(0, ORDER_VALID_SECONDS)
        model.held_orders.append((due, order))
        return OrderOutcome.unknown
    return None


def lose_order(worker: ModelWorker) -> OrderOutcome:
    """Lose an order to a worker that is partitioned.

    The sender resets the connection, so the order never arrives late, and finds
    no other.
    """
    if worker.connections:
        worker.connections -= 1
        return OrderOutcome.unknown
    return OrderOutcome.undelivered


def deliver_held(model: WorkModel) -> None:
    """Deliver the start orders that relays have held."""
    due = [order for at, order in model.held_orders if at <= model.now]
    model.held_orders = [
        held for held in model.held_orders if held[0] > model.now
    ]
    for order in due:
        worker = model.workers.get(order.worker)
        if worker is not None and not worker.is_partitioned:
            worker.start(order, model.now)


def refuses_start(model: WorkModel, order: StartOrder) -> bool:
    """Return whether a worker refuses a start."""
    is_unlucky = model.rng.random() < model.refuse_share
    return is_unlucky or model.workers[order.worker].refuses_starts


def drop_randomly(model: WorkModel, answer: OrderAnswer) -> OrderAnswer:
    """Drop a share of the answers."""
    if model.rng.random() < model.lost_share:
        return OrderAnswer(OrderOutcome.unknown)
    return answer


def replace_worker(model: WorkModel, worker: WorkerId) -> None:
    """Replace a crashed worker by another one at its address."""
    crashed = model.workers.pop(worker)
    crashed.crash(model.now)
    model.replaced += 1
    crashed.worker = WorkerId(f'w{model.worker_count + model.replaced}')
    model.workers[crashed.worker] = crashed


def add_worker(model: WorkModel) -> ModelWorker:
    """Add a worker with a new name."""
    worker = WorkerId(f'w{len(model.workers)}')
    model.workers[worker] = ModelWorker(
        worker,
        model,
        port=len(model.workers) + 1,
        clock_offset=model.now,
    )
    return model.workers[worker]


def check_room(model: WorkModel, worker: ModelWorker) -> None:
    """Check that a start does not exceed the resources of a worker."""
    if model.now - worker.resized_at > NOTICE_SECONDS:
        used = sum(run.cpu for run in worker.runs.values())
        assert used <= worker.room.cpu, f'{worker.worker} runs {used}'
        worker.most_runs = max(worker.most_runs, len(worker.runs))


def crash_worker(model: WorkModel, worker: ModelWorker) -> None:
    """Crash a worker, which returns after a while."""
    worker.crash(model.now)
    worker.is_partitioned = True
    model.down.append((model.now + model.down_seconds, worker))


def crash_if_deadly(
    model: WorkModel, worker: ModelWorker, task: TaskId
) -> None:
    """Crash the worker of a task that crashes each worker."""
    if task not in model.deadly:
        return
    if model.crashes[task] >= MAX_CRASHES:
        model.late_starts[task] += 1
    late_starts = model.late_starts[task]
    assert late_starts < MAX_LATE_STARTS, f'{task}: {late_starts} more starts'
    model.crashes[task] += 1
    model.crashing.append(
        (model.now + model.deadly_seconds, worker, worker.incarnation)
    )


def crash_and_return(model: WorkModel) -> None:
    """Crash the workers of deadly tasks, and return those that were down."""
    due = [crash for crash in model.crashing if crash[0] <= model.now]
    model.crashing = [crash for crash in model.crashing if crash not in due]
    for _, crashing_worker, incarnation in due:
        if crashing_worker.incarnation == incarnation:
            crash_worker(model, crashing_worker)
    returning = [worker for at, worker in model.down if at <= model.now]
    model.down = [(at, worker) for at, worker in model.down if at > model.now]
    for worker in returning:
        if model.keeps_names:
            worker.crash(model.now)
            worker.is_partitioned = False
        else:
            replacement = add_worker(model)
            replacement.port = worker.port
            replacement.incarnation = worker.incarnation


def drain_worker(model: WorkModel, worker: WorkerId) -> None:
    """Request the stop of all runs of a worker."""
    session = model.scheduler.sessions.get(worker)
    for run in () if session is None else session.runs.values():
        if run.state == RunState.running:
            session.request_stop(run)


def repair(model: WorkModel) -> None:
    """Repair all faults."""
    for worker in model.workers.values():
        worker.is_partitioned = False
    model.lost_share = 0
    model.delayed_share = 0
    model.refuse_share = 0


def repair_and_finish(model: WorkModel) -> None:
    """Repair all faults and check that all jobs end."""
    repair(model)
    for long_running_job in list(model.tables.jobs.get_open()):
        if long_running_job.spec.lasts:
            model.cancel(long_running_job.spec.job)
    model.run(FINISH_SECONDS)
    open_jobs = [job.spec.job for job in model.tables.jobs.get_open()]
    assert not open_jobs, f'{open_jobs} are stuck'


def get_percent(model: WorkModel, run: ModelRun) -> float:
    """Get the progress that a run reports."""
    return 100 if model.get_phase(run.task).needs.lasts else 50


def get_slowdown(worker: ModelWorker, task: TaskId) -> float:
    """Get how many times as long a task runs on a worker."""
    data_rack = worker.model.get_phase(task).needs.data_rack
    is_away = data_rack and data_rack != worker.rack
    return worker.model.rack_factor if is_away else 1


def draw_run_seconds(model: WorkModel, task: TaskId) -> float:
    """Draw the duration of a run in seconds."""
    needs = model.get_phase(task).needs
    fixed_seconds = model.seconds_by_job.get(get_job_id(task))
    if fixed_seconds is not None:
        return fixed_seconds
    is_endless = needs.lasts and needs.max_away is not None
    is_endless = is_endless or task in model.deadly
    return (
        ENDLESS_SECONDS
        if is_endless
        else model.rng.uniform(*model.short_seconds)
    )


def count_available(model: WorkModel, phase_id: str) -> int:
    """Count the runs of a phase that are available on reachable workers."""
    return sum(
        run.task.startswith(f'{phase_id}.') and not worker.is_stopping(run)
        for worker in model.workers.values()
        if not worker.is_partitioned
        for run in worker.runs.values()
    )


def make_worker_announcement(
    worker: WorkerId, incarnation: int
) -> WorkerAnnouncement:
    """Make the announcement of a modelled worker."""
    return WorkerAnnouncement(
        worker=worker,
        service=SERVICE,
        address='127.0.0.1',
        port=1,
        zone=ZoneName('muscat'),
        room=RESOURCES,
        labels=('a', 'r1'),
        rack=RackName('r1'),
        incarnation=incarnation,
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
    fills: bool = False,
    max_away: int | None = None,
    memory: int = 100,
    target_seconds: float = 0,
) -> Phase:
    """Make a phase."""
    needs = TaskNeeds(
        Resources(cpu, memory),
        1.0,
        lasts=lasts,
        fills=fills,
        max_away=max_away,
        spread_limit=1 if lasts and not fills else 0,
        target_seconds=target_seconds,
    )
    return Phase(count, needs, after)
