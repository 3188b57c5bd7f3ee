"""Random faults against the scheduler, checked by the oracle."""

from random import Random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hornbeamstair_callers.jobs.messages import JobState
from hornbeamstair_core.ids import JobId
from tests.support.work_model import (
    WorkModel,
    drain_worker,
    make_phase,
    repair_and_finish,
    replace_worker,
)

_workers = st.integers(0, 2)


class WorkStateMachine(RuleBasedStateMachine):
    """Jobs, faults and leader changes in any order.

    Hypothesis sorts the rules by name; other names may draw other examples.
    """

    def __init__(self) -> None:
        """Start a model whose faults are drawn by hypothesis."""
        super().__init__()
        self.model = WorkModel(Random(1), lost_share=0.1, delayed_share=0.1)
        self.count = 0

    @rule(
        tasks=st.integers(1, 4),
        cpu=st.sampled_from((500, 3000, 9000, 16000)),
        phases=st.integers(1, 3),
        lasts=st.booleans(),
    )
    def accept(
        self,
        tasks: int,
        cpu: int,
        phases: int,
        lasts: bool,
    ) -> None:
        """Accept a job."""
        self.count += 1
        job = JobId(f'{self.count:016x}')
        made = [make_phase(tasks, cpu, lasts=lasts and phases == 1)]
        made.extend(
            make_phase(tasks, cpu, (number,)) for number in range(phases - 1)
        )
        self.model.accept(job, tuple(made))

    @rule(seconds=st.sampled_from((0.1, 0.5, 2)))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.model.run(seconds)

    @rule(worker=_workers)
    def crash(self, worker: int) -> None:
        """Crash and restart a worker."""
        self._get_worker(worker).crash(self.model.now)

    @rule(worker=_workers, is_partitioned=st.booleans())
    def disconnect(self, worker: int, is_partitioned: bool) -> None:
        """Partition a worker, or heal its partition."""
        self._get_worker(worker).is_partitioned = is_partitioned

    @rule(worker=_workers)
    def drain(self, worker: int) -> None:
        """Request the stop of all runs of a worker."""
        drain_worker(self.model, self._get_worker(worker).worker)

    @rule(worker=_workers)
    def replace(self, worker: int) -> None:
        """Replace a crashed worker by another one."""
        replace_worker(self.model, self._get_worker(worker).worker)

    @rule()
    def change_leader(self) -> None:
        """Change the leader."""
        self.model.change_leader()

    @rule(number=st.integers(1, 10))
    def cancel(self, number: int) -> None:
        """Cancel a job that is open."""
        job = JobId(f'{number:016x}')
        found_job = self.model.tables.jobs.jobs.get(job)
        if found_job is not None and found_job.is_open:
            self.model.cancel(job)

    @invariant()
    def check_states(self) -> None:
        """Check that all tasks of a completed job are done."""
        for job in self.model.tables.jobs.jobs.values():
            if job.state == JobState.completed:
                assert job.is_done()

    def teardown(self) -> None:
        """Repair all faults and check that all jobs end."""
        repair_and_finish(self.model)

    def _get_worker(self, number: int):
        return list(self.model.workers.values())[number]


def get_work_settings(examples: int, steps: int = 20) -> settings:
    """Get settings that give the same result in each run."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=(Phase.generate,),
        deadline=None,
        derandomize=True,
        database=None,
    )
