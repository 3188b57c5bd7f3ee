"""Leader with a backlog: its pool is full and many jobs wait."""

from random import Random

from attrs import define, field

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_core.ids import JobId
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderOutcome,
    PollAnswer,
    RunEnd,
)
from hornbeamstair_upstreams.work.session import WorkerSession
from tests.support.work_model import WorkModel, make_phase

TASKS = 8
# Task sizes vary so that some jobs fit where others do not.
SMALLEST_CPU = 1200
LARGEST_CPU = 2400


@define(eq=False)
class Backlog:
    """Model whose runs end only on demand."""

    workers: int
    jobs: int
    model: WorkModel = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Fill the pool and queue the remaining jobs."""
        self.model = WorkModel(
            Random(1),
            worker_count=self.workers,
            lost_share=0,
            delayed_share=0,
            fail_share=0,
            refuse_share=0,
        )
        self.model.run(1)
        rng = Random(2)
        for number in range(self.jobs):
            cpu = rng.randint(SMALLEST_CPU, LARGEST_CPU)
            phases = (make_phase(TASKS, cpu), make_phase(TASKS, cpu, (0,)))
            self.model.accept(JobId(f'{number:016x}'), phases)
        self.place()
        for session in self.scheduler.sessions.values():
            for run in session.runs.values():
                session.confirm(run, run.state.running, self.model.now)

    @property
    def scheduler(self) -> Scheduler:
        """Scheduler of the leader."""
        return self.model.scheduler

    def place(self) -> None:
        """Run a placement pass and commit its records."""
        self.scheduler.place(self.get_moment())
        self.record()

    def record(self) -> None:
        """Commit the pending records of the scheduler at once."""
        for effect in self.scheduler.drain_effects():
            if isinstance(effect, CommitBatch):
                self.model.apply(effect.records)
                self.scheduler.handle_committed(effect)
        self.scheduler.drain_effects()

    def end_and_start(self) -> None:
        """Have a worker list an end, then place what fits."""
        session = self.find_busy()
        run = next(iter(session.runs.values()))
        report = EndReport(
            session.end_cursor.listed + 1,
            run.task,
            run.run,
            RunEnd.done,
            '',
        )
        now = self.get_moment()
        answer = PollAnswer(OrderOutcome.done, now.monotonic, 1, (), (report,))
        self.scheduler.handle_poll(session, answer, now.monotonic, now)
        self.record()
        self.place()

    def count_stops(self) -> int:
        """Count the stop orders that are due."""
        sessions = self.scheduler.sessions.values()
        return sum(len(session.stops) for session in sessions)

    def find_busy(self) -> WorkerSession:
        """Find a worker with a run."""
        sessions = self.scheduler.sessions.values()
        return next(session for session in sessions if session.runs)

    def get_moment(self) -> Moment:
        """Get the current time."""
        return self.model.get_moment()
