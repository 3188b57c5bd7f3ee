"""Model of a pool whose tasks run faster on the rack of their data."""

from random import Random

from attrs import evolve

from hornbeamstair_callers.jobs.learned_run_times import LearnedRunTimes
from hornbeamstair_callers.jobs.messages import Phase
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_core.ids import JobId, RackName
from hornbeamstair_upstreams.work.places.policies import PlaceWaitPolicy
from hornbeamstair_upstreams.work.places.waits import PlaceTerms
from tests.support.work_model import RESOURCES, WorkModel, make_phase

__all__ = (
    'FACTOR',
    'HOT_RACK',
    'accept_load',
    'get_late_share',
    'get_times',
    'make_rack_model',
    'make_task_phase',
)

FACTOR = 2.0
HOT_RACK = RackName('r0')
# Tasks that fit on a worker at a time.
SLOTS = 4


def make_rack_model(
    seed: int,
    racks: int,
    workers_per_rack: int,
    policy: PlaceWaitPolicy,
) -> WorkModel:
    """Make a model without faults, with its workers spread over racks."""
    model = WorkModel(
        Random(seed),
        worker_count=racks * workers_per_rack,
        lost_share=0,
        delayed_share=0,
        fail_share=0,
        refuse_share=0,
        rack_factor=FACTOR,
        make_policies=lambda: SchedulingPolicies(
            LearnedRunTimes(),
            places=PlaceTerms(FACTOR, policy),
        ),
    )
    for number, worker in enumerate(model.workers.values()):
        worker.rack = RackName(f'r{number % racks}')
    model.run(1)
    return model


def make_task_phase(
    count: int,
    estimate_seconds: float,
    rack: str = '',
    *,
    is_gang: bool = False,
) -> Phase:
    """Make a phase of tasks, four of which fill a worker."""
    phase = make_phase(count, RESOURCES.cpu // SLOTS)
    needs = evolve(
        phase.needs,
        estimate_seconds=estimate_seconds,
        data_rack=rack,
        one_rack=is_gang,
    )
    return evolve(phase, needs=needs, is_gang=is_gang)


def accept_load(
    model: WorkModel,
    rng: Random,
    seconds: float,
    rate: float,
    hot_share: float,
) -> None:
    """Accept jobs at random times; a share of them wants the hot rack.

    Estimates are off by up to nine tenths, as those of callers are.
    """
    end = model.now + seconds
    number = 0
    due = model.now
    while due < end:
        model.run(max(due - model.now, 0))
        run_seconds = rng.lognormvariate(0, 0.5)
        estimate = run_seconds * (1 + rng.uniform(-0.9, 0.9))
        rack = HOT_RACK if rng.random() < hot_share else ''
        job = JobId(f'{number:016x}')
        model.seconds_by_job[job] = run_seconds
        phase = make_task_phase(rng.randint(1, 8), estimate, rack)
        model.accept(job, (phase,))
        number += 1
        due += rng.expovariate(rate)


def get_times(model: WorkModel) -> dict[JobId, tuple[float, float]]:
    """Get the time and the run time of each completed job."""
    return {
        job.spec.job: (
            job.ended_at - job.accepted_at,
            model.seconds_by_job[job.spec.job],
        )
        for job in model.tables.jobs.jobs.values()
        if not job.is_open
    }


def get_late_share(model: WorkModel) -> float:
    """Get the share of jobs after their objective, by their true run time."""
    queue = model.tables.manifest.manifest.queues[0]
    late = sum(
        took > queue.stretch * run_seconds + queue.target_seconds
        for took, run_seconds in get_times(model).values()
    )
    return late / len(model.tables.jobs.jobs)
