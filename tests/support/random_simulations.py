"""Long random simulations of jobs and faults, one per seed."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from hornbeamstair_core.ids import JobId
from tests.support.task_waits import TaskWaits
from tests.support.work_model import (
    ModelWorker,
    WorkModel,
    drain_worker,
    make_phase,
    repair,
    repair_and_finish,
    replace_worker,
)

STEPS = 60
SPANS = 0.1, 0.5, 2.0
SIZES = 500, 3000, 9000, 16000
SMALL_SIZES = 500, 3000
LONG_RUNNING_SHARE = 0.3
# Probability of each action, in percent.
WEIGHTS = {
    'accept': 25,
    'wait': 35,
    'crash': 8,
    'partition_or_heal': 15,
    'drain': 5,
    'replace': 3,
    'change_leader': 6,
    'cancel': 3,
}
FAULTS = 'crash', 'partition_or_heal', 'drain', 'replace', 'change_leader'
# Time without faults before the long-running jobs are cancelled.
REPAIRED_SECONDS = 20


@define(eq=False)
class RandomSimulation:
    """One simulation; the oracle of the model checks each start."""

    seed: int
    # Share of the starts that relays hold.
    held_share: float = 0
    # Share of the polls that are executed late.
    delayed_polls_share: float = 0
    rng: Random = field(init=False)
    model: WorkModel = field(init=False)
    accepted: int = 0
    waits: TaskWaits = field(init=False)
    last_fault: float = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Create separate random sources for the actions and the faults."""
        self.rng = Random(self.seed)
        self.model = WorkModel(
            Random(self.seed + 10000),
            lost_share=0.1,
            delayed_share=0.1,
            held_share=self.held_share,
            delayed_polls_share=self.delayed_polls_share,
        )
        self.waits = TaskWaits(self.model)
        self.model.observers.append(self.check_waits)

    def run(self) -> None:
        """Run random actions, repair all faults and check that all jobs end."""
        names = list(WEIGHTS)
        for name in self.rng.choices(names, WEIGHTS.values(), k=STEPS):
            step: Callable[[], None] = getattr(self, name)
            step()
            if name in FAULTS:
                self.last_fault = self.model.now
        repair(self.model)
        self.last_fault = self.model.now
        self.model.run(REPAIRED_SECONDS)
        repair_and_finish(self.model)

    def check_waits(self) -> None:
        """Check that no task waits for too long without any fault."""
        workers = self.model.workers.values()
        if any(worker.is_partitioned for worker in workers):
            self.last_fault = self.model.now
        self.waits.observe(self.last_fault)

    def accept(self) -> None:
        """Accept a job of one to three consecutive phases."""
        self.accepted += 1
        phases = self.rng.randint(1, 3)
        lasts = phases == 1 and self.rng.random() < LONG_RUNNING_SHARE
        made = [
            make_phase(
                self.rng.randint(1, 4),
                self.rng.choice(SIZES),
                lasts=lasts,
            ),
        ]
        for before in range(phases - 1):
            cpu = self.rng.choice(SMALL_SIZES)
            made.append(make_phase(self.rng.randint(1, 4), cpu, (before,)))
        self.model.accept(JobId(f'{self.accepted:016x}'), tuple(made))

    def wait(self) -> None:
        """Advance the clock."""
        self.model.run(self.rng.choice(SPANS))

    def crash(self) -> None:
        """Crash and restart a worker, whether or not it is partitioned."""
        self._choose_worker().crash(self.model.now)

    def partition_or_heal(self) -> None:
        """Partition a worker, or heal its partition."""
        worker = self._choose_worker()
        worker.is_partitioned = not worker.is_partitioned

    def drain(self) -> None:
        """Request the stop of all runs of a worker."""
        drain_worker(self.model, self._choose_worker().worker)

    def replace(self) -> None:
        """Replace a crashed worker by another one."""
        replace_worker(self.model, self._choose_worker().worker)

    def change_leader(self) -> None:
        """Change the leader."""
        self.model.change_leader()

    def cancel(self) -> None:
        """Cancel a job if it is open."""
        job = JobId(f'{self.rng.randint(0, self.accepted):016x}')
        found_job = self.model.tables.jobs.jobs.get(job)
        if found_job is not None and found_job.is_open:
            self.model.cancel(job)

    def _choose_worker(self) -> ModelWorker:
        return self.rng.choice(list(self.model.workers.values()))
