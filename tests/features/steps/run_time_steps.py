"""Steps on learned run times."""

from random import Random
from statistics import median
from typing import Any

from behave import given, then, when

from hornbeamstair_callers.jobs.learned_run_times import LearnedRunTimes
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_core.ids import QueueName
from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds
from tests.support.work_model import QUEUE, WorkModel, make_phase

# Run times of a drawn job, in seconds, and the spread of their logarithm.
TYPICAL_SECONDS = 1.0
SPREAD = 0.5
# The first jobs are left out of the errors.
WARM_UP = 20


def make_needs(seconds: float, image: str = 'mill') -> TaskNeeds:
    """Make the needs of a task with a declared run time."""
    return TaskNeeds(Resources(2000, 100), seconds, image=image)


@given('{count:d} jobs estimated at {declared:g} s that run {seconds:g} s')
def learn_jobs(
    context: Any, count: int, declared: float, seconds: float
) -> None:
    """Learn jobs that all run equally long."""
    context.run_times = LearnedRunTimes()
    run_more(context, count, declared, seconds)


@when('{count:d} jobs estimated at {declared:g} s run {seconds:g} s')
def run_more(context: Any, count: int, declared: float, seconds: float) -> None:
    """Learn more jobs."""
    for number in range(count):
        context.run_times.record(
            QUEUE, f'{seconds}-{number}', make_needs(declared), seconds
        )


@when(
    'one job of {tasks:d} tasks estimated at {declared:g} s runs {seconds:g} s'
)
def run_wild(context: Any, tasks: int, declared: float, seconds: float) -> None:
    """Learn each task of one job."""
    for _ in range(tasks):
        context.run_times.record(QUEUE, 'wild', make_needs(declared), seconds)


@when('jobs of {count:d} images are done')
def run_images(context: Any, count: int) -> None:
    """Learn jobs with an image each."""
    context.run_times = LearnedRunTimes()
    for number in range(count):
        needs = make_needs(1, f'image-{number}')
        context.run_times.record(QUEUE, str(number), needs, 1)


@then('at most {count:d} kinds of steps are in memory')
def check_memory(context: Any, count: int) -> None:
    """Check the number of kinds."""
    assert len(context.run_times.kinds) <= count


@then(
    'a job estimated at {declared:g} s is expected to run {low:g} to {high:g} s'
)
def check_expected(
    context: Any, declared: float, low: float, high: float
) -> None:
    """Check an expected run time."""
    seconds = context.run_times.get_seconds(QUEUE, make_needs(declared))
    assert low <= seconds <= high, seconds


@then(
    'a job of another queue estimated at {declared:g} s is expected to run '
    '{seconds:g} s'
)
def check_other(context: Any, declared: float, seconds: float) -> None:
    """Check the expected run time of a queue without ended runs."""
    found = context.run_times.get_seconds(
        QueueName('other'), make_needs(declared)
    )
    assert found == seconds


@given(
    '{count:d} drawn jobs whose estimates are off by up to {off:g}, '
    'seed {seed:d}'
)
def draw_jobs(context: Any, count: int, off: float, seed: int) -> None:
    """Draw run times and estimates."""
    rng = Random(seed)
    context.drawn = []
    for _ in range(count):
        seconds = TYPICAL_SECONDS * rng.lognormvariate(0, SPREAD)
        declared = seconds * (1 + rng.uniform(-off, off))
        context.drawn.append((seconds, declared))


@when('the run time of each is estimated before its end is learned')
def estimate_drawn(context: Any) -> None:
    """Compare the errors of the learned and the declared run times."""
    run_times = LearnedRunTimes()
    context.errors = []
    for number, (seconds, declared) in enumerate(context.drawn):
        learned = run_times.get_seconds(QUEUE, make_needs(declared))
        context.errors.append((abs(learned - seconds), abs(declared - seconds)))
        run_times.record(QUEUE, str(number), make_needs(declared), seconds)


@then('the median error is below {share:g} of that of the declared estimates')
def check_errors(context: Any, share: float) -> None:
    """Compare the medians of the errors."""
    errors = context.errors[WARM_UP:]
    learned = median(pair[0] for pair in errors)
    declared = median(pair[1] for pair in errors)
    assert learned < share * declared, (learned, declared)


@given('a work model with seed {seed:d} that learns run times and no faults')
def start_learning_model(context: Any, seed: int) -> None:
    """Start a model whose leaders learn run times."""
    context.work = WorkModel(
        Random(seed),
        lost_share=0,
        delayed_share=0,
        fail_share=0,
        make_policies=lambda: SchedulingPolicies(LearnedRunTimes()),
    )


@then('the new leader expects the run times that the previous one did')
def check_relearned(context: Any) -> None:
    """Compare the expected run time with one learned from the runs."""
    totals = [
        job.run_totals['0.0'] for job in context.work.tables.jobs.jobs.values()
    ]
    context.mean = median(seconds / count for count, seconds in totals)
    context.found = _get_expected(context)
    # The first leader began without any runs, and learned one by one.
    context.work.change_leader()
    assert _get_expected(context) == context.found


@then('they are closer to the runs than the estimate of {declared:g} s')
def check_closer(context: Any, declared: float) -> None:
    """Compare the expected run time with the mean of the runs."""
    learned_error = abs(context.found - context.mean)
    assert learned_error < abs(declared - context.mean) / 2, (
        context.found,
        context.mean,
    )


def _get_expected(context: Any) -> float:
    run_times = context.work.scheduler.policies.run_times
    seconds: float = run_times.get_seconds(QUEUE, make_phase(1, 3000).needs)
    return seconds
