"""Long random plays of work, faults and holders, one a seed."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from hornbeamstair_core.ids import JobId
from tests.support.work_model import (
    ModelWorker,
    WorkModel,
    finish,
    make_phase,
    replace_worker,
    stop_all,
)

STEPS = 60
SPANS = 0.1, 0.5, 2.0
SIZES = 500, 3000, 9000, 16000
SMALL_SIZES = 500, 3000
LASTING_SHARE = 0.3
# What happens next, and how often in a hundred steps.
WEIGHTS = {
    'accept': 25,
    'wait': 35,
    'crash': 8,
    'cut_or_join': 15,
    'free': 5,
    'replace': 3,
    'change_holder': 6,
    'cancel': 3,
}


@define(eq=False)
class RandomPlay:
    """One play; the oracle of the model checks each start."""

    seed: int
    rng: Random = field(init=False)
    model: WorkModel = field(init=False)
    accepted: int = 0

    def __attrs_post_init__(self) -> None:
        """Draw the play and the faults of its model apart."""
        self.rng = Random(self.seed)
        self.model = WorkModel(
            Random(self.seed + 10000),
            lost_share=0.1,
            late_share=0.1,
        )

    def run(self) -> None:
        """Play, mend everything and check that the work goes on."""
        names = list(WEIGHTS)
        for name in self.rng.choices(names, WEIGHTS.values(), k=STEPS):
            step: Callable[[], None] = getattr(self, name)
            step()
        finish(self.model)

    def accept(self) -> None:
        """Accept a job of some phases, one after the other."""
        self.accepted += 1
        phases = self.rng.randint(1, 3)
        lasts = phases == 1 and self.rng.random() < LASTING_SHARE
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
        """Let time pass."""
        self.model.run(self.rng.choice(SPANS))

    def crash(self) -> None:
        """Have a worker crash and begin a new life, be it cut off or not."""
        self._draw_worker().crash(self.model.now)

    def cut_or_join(self) -> None:
        """Cut a worker off, or join it again."""
        worker = self._draw_worker()
        worker.is_cut = not worker.is_cut

    def free(self) -> None:
        """Have all that runs on a worker stopped."""
        stop_all(self.model, self._draw_worker().worker)

    def replace(self) -> None:
        """Have another worker take the place of one that crashed."""
        replace_worker(self.model, self._draw_worker().worker)

    def change_holder(self) -> None:
        """Have another process lead."""
        self.model.take_over()

    def cancel(self) -> None:
        """Cancel a job if it is open."""
        job = JobId(f'{self.rng.randint(0, self.accepted):016x}')
        found = self.model.tables.jobs.jobs.get(job)
        if found is not None and found.is_open:
            self.model.cancel(job)

    def _draw_worker(self) -> ModelWorker:
        return self.rng.choice(list(self.model.workers.values()))
