"""Leader with workers that answer at once, for benchmarks."""

from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.demand import get_demands
from hornbeamstair_callers.jobs.draining import drain_workers, get_loads
from hornbeamstair_callers.jobs.effects import CommitBatch, SendStart
from hornbeamstair_callers.jobs.messages import JobSpec, Phase
from hornbeamstair_callers.jobs.records import JobAccepted, RecordListener
from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.effects import Effect
from hornbeamstair_core.ids import (
    HostId,
    JobId,
    PoolName,
    WorkerId,
    ZoneName,
)
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_fleet.moves.planner import MovePlanner
from hornbeamstair_fleet.moves.views import PoolView
from hornbeamstair_fleet.waves.messages import HostState, ListedHost
from hornbeamstair_operators.manifest.messages import (
    ManifestPut,
)
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_tools.fleet_samples import (
    SERVICE_COUNT,
    get_queue,
    get_service,
    make_manifest,
    make_worker_announcement,
)
from hornbeamstair_upstreams.work.leases import get_lease_terms
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    Resources,
    RunEnd,
    RunReport,
    StartOrder,
    TaskNeeds,
    WorkerSeen,
)
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.table import WorkerTable

__all__ = ('ENTRY_RECORDS', 'STARTED_TASKS', 'TICKS', 'SchedulerLoad')

_TASKS_PER_JOB: Final = 8
# Jobs of each size that are started and ended.
_JOBS: Final = 150
STARTED_TASKS: Final = _JOBS * _TASKS_PER_JOB
_DRAINED: Final = 10
ENTRY_RECORDS: Final = 64
TICKS: Final = 20
_LONGEST_LEASE: Final = 6.0
_STOP_SECONDS: Final = 0.2
_SHORT: Final = TaskNeeds(Resources(6000, 8800), 0.5)
_LONG: Final = TaskNeeds(
    Resources(8000, 17000), 90.0, lasts=True, max_away=3, spread_limit=1
)
_LONG_COUNT: Final = 24
# Jobs of long-running tasks for each hundred workers.
_LONG_JOBS: Final = 2


@define(eq=False)
class SchedulerLoad(RecordListener):
    """Leader with workers that answer at once, in one process."""

    worker_count: int
    now: float = 1000.0
    state: SchedulerState = field(init=False)
    machine: TableStateMachine = field(init=False)
    scheduler: Scheduler = field(init=False)
    planner: MovePlanner = field(factory=MovePlanner)
    running: dict[WorkerId, list[StartOrder]] = field(factory=dict)
    end_numbers: dict[WorkerId, int] = field(factory=dict)
    last_job: int = 0

    def __attrs_post_init__(self) -> None:
        """Announce the workers and start the long-running tasks."""
        self.state = SchedulerState(JobTable(), ManifestTable(), WorkerTable())
        self.machine = TableStateMachine(
            (self.state.jobs, self.state.manifest, self.state.workers),
        )
        self.apply((ManifestPut(make_manifest()),))
        for number in range(self.worker_count):
            self.apply((WorkerSeen(make_worker_announcement(number)),))
        terms = get_lease_terms(_LONGEST_LEASE, _STOP_SECONDS)
        self.scheduler = Scheduler(self.state, 1, terms)
        self.scheduler.start(self.get_moment())
        self.state.jobs.record_listener = self
        self.poll_all()
        for number in range(self.worker_count // 100 * _LONG_JOBS):
            self.accept(number, _LONG, _LONG_COUNT)
            self.place()
        # The runs count as serving once the time of a stop has passed.
        for _ in range(4):
            self.now += 0.5
            self.poll_all()

    def get_moment(self) -> Moment:
        """Get the time of this load."""
        return Moment(self.now, self.now)

    def on_applied(self, record: Record) -> None:
        """Pass an applied record to the scheduler."""
        self.scheduler.handle_applied(record, self.get_moment())

    def apply(self, records: tuple[Record, ...]) -> None:
        """Encode and apply records, as the replicated log does."""
        self.machine.apply(0, self.machine.codec.encode(records))

    def accept(self, number: int, needs: TaskNeeds, count: int) -> None:
        """Accept a job for one of the services."""
        self.last_job += 1
        service = number % SERVICE_COUNT
        spec = JobSpec(
            JobId(f'job{self.last_job}'), 'text', (Phase(count, needs),)
        )
        accepted = JobAccepted(
            spec, get_queue(service), get_service(service), self.now
        )
        self.apply((accepted,))

    def execute(self) -> None:
        """Execute the effects of the scheduler until there are none."""
        while effects := self.scheduler.drain_effects():
            for effect in effects:
                self._execute(effect)

    def place(self) -> None:
        """Place the ready tasks and have the workers start them."""
        self.scheduler.place(self.get_moment())
        self.execute()

    def run_ticks(self) -> None:
        """Run the ticks of a second."""
        for _ in range(TICKS):
            self.now += 0.05
            self.scheduler.tick(self.get_moment())
            self.execute()

    def poll(
        self, session: WorkerSession, ended: tuple[EndReport, ...] = ()
    ) -> None:
        """Have a worker answer a poll."""
        worker = session.announced.worker
        session.make_poll(self.now)
        running = tuple(
            RunReport(order.task, order.run, '', 100, 0)
            for order in self.running.get(worker, ())
        )
        answer = PollAnswer(
            OrderOutcome.done,
            self.now,
            session.announced.incarnation,
            running,
            ended,
        )
        self.scheduler.handle_poll(session, answer, self.now, self.get_moment())
        self.execute()

    def poll_all(self) -> None:
        """Have every worker answer a poll."""
        for session in list(self.scheduler.sessions.values()):
            self.poll(session)

    def start_jobs(self) -> None:
        """Accept and start short jobs."""
        for number in range(_JOBS):
            self.now += 0.002
            self.accept(number, _SHORT, _TASKS_PER_JOB)
            self.place()

    def end_jobs(self) -> None:
        """Have all short tasks end."""
        for worker, orders in list(self.running.items()):
            short = [order for order in orders if self._is_short(order)]
            if short:
                self.now += 0.0001
                self.running[worker] = [
                    order for order in orders if order not in short
                ]
                ends = tuple(self._make_end(worker, order) for order in short)
                self.poll(self.scheduler.sessions[worker], ends)
                self.place()

    def drain(self) -> None:
        """Decide which runs to stop on some workers; cancel the stops."""
        workers = list(self.scheduler.sessions)[:_DRAINED]
        drain_workers(self.scheduler, workers, (), self.get_moment())
        for worker in workers:
            session = self.scheduler.sessions[worker]
            session.is_reserved = False
            session.stops.clear()
            for run in session.runs.values():
                run.is_stop_requested = False

    def announce_all(self) -> None:
        """Have every worker announce itself once more."""
        for number in range(self.worker_count):
            announced = make_worker_announcement(number)
            self.scheduler.handle_announcement(announced, self.get_moment())
        self.scheduler.index.refresh()

    def commit(self) -> None:
        """Encode and apply one entry of the log."""
        seen = map(
            WorkerSeen, map(make_worker_announcement, range(ENTRY_RECORDS))
        )
        self.apply(tuple(seen))

    def plan_moves(self) -> None:
        """Plan the moves of the hosts."""
        view = PoolView(
            get_demands(self.scheduler, self.get_moment()),
            self._get_hosts(),
            get_loads(self.scheduler),
            {},
        )
        self.planner.plan(view, self.now)

    def _get_hosts(self) -> dict[HostId, ListedHost]:
        return {
            HostId(f'h{number}'): ListedHost(
                HostId(f'h{number}'),
                PoolName(get_service(number % SERVICE_COUNT)),
                HostState.up,
                ZoneName('a'),
                'r',
                WorkerId(f'w{number}'),
            )
            for number in range(self.worker_count)
        }

    def _execute(self, effect: Effect) -> None:
        match effect:
            case CommitBatch(records=()):
                self.scheduler.handle_committed(effect)
            case CommitBatch():
                self.apply(effect.records)
                self.scheduler.handle_committed(effect)
            case SendStart():
                self._start(effect.session, effect.order)

    def _start(self, session: WorkerSession, order: StartOrder) -> None:
        self.running.setdefault(order.worker, []).append(order)
        self.scheduler.handle_start_answer(
            session,
            order,
            OrderAnswer(OrderOutcome.done, self.now, 1),
            self.get_moment(),
        )

    def _is_short(self, order: StartOrder) -> bool:
        session = self.scheduler.sessions[order.worker]
        return not session.runs[order.task].needs.lasts

    def _make_end(self, worker: WorkerId, order: StartOrder) -> EndReport:
        number = self.end_numbers.get(worker, 0) + 1
        self.end_numbers[worker] = number
        return EndReport(number, order.task, order.run, RunEnd.done, '')
