"""Steps on waits for a rack."""

import os
from pathlib import Path
from random import Random
from statistics import mean
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from hornbeamstair_core.ids import JobId
from hornbeamstair_platform.settings import read_node_settings
from hornbeamstair_upstreams.work.places.policies import (
    ExpectedGain,
    FixedWait,
    NoWait,
    PlaceOutlook,
)
from tests.support.racks import (
    FACTOR,
    HOT_RACK,
    accept_load,
    get_late_share,
    get_times,
    make_rack_model,
    make_task_phase,
)
from tests.support.work_model import SERVICE

POLICIES = {
    'expected gain': ExpectedGain(),
    'fixed wait': FixedWait(60),
    'no wait': NoWait(),
}
SETTINGS = """
node_name = "core-1"
zone = "muscat"
ip = "127.0.0.1"
internal_ports = [7101]
bootstrap = false
[bounds]
hold_max_ms = 6000
stop_timeout_ms = 200
"""
RACKS = {'hot': HOT_RACK, 'unknown': 'r9', 'none': ''}


@when(
    'a run of {run:g} s would gain {gain:g} s, room is expected in {expected} '
    's, the phase has waited {waited:g} s and has a slack of {slack:g} s'
)
def decide(
    context: Any,
    run: float,
    gain: float,
    expected: str,
    waited: float,
    slack: float,
) -> None:
    """Ask the policy."""
    outlook = PlaceOutlook(run, gain, float(expected), waited, waited, slack)
    context.waits = ExpectedGain().should_wait(outlook)


@then('the decision is: {decision}')
def check_decision(context: Any, decision: str) -> None:
    """Check the decision of the policy."""
    assert context.waits == (decision == 'waits')


@when('a process reads settings with {bounds}')
def read_settings(context: Any, bounds: str) -> None:
    """Read a settings file of the platform."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'boot.toml'
        path.write_text(SETTINGS + bounds, encoding='utf-8')
        with patch.dict(os.environ, {'HORNBEAMSTAIR_NODE_FILE': str(path)}):
            context.settings = read_node_settings().ok.system


@then('its rack factor is {factor:g}')
def check_factor(context: Any, factor: float) -> None:
    """Check the factor."""
    assert context.settings.rack_factor == factor


@given('{racks:d} racks of {workers:d} workers with {policy}, seed {seed:d}')
def start_racks(
    context: Any, racks: int, workers: int, policy: str, seed: int
) -> None:
    """Start a model with racks."""
    context.work = make_rack_model(seed, racks, workers, POLICIES[policy])
    context.jobs = []


@given('the hot rack runs {count:d} tasks of {seconds:g} s')
def fill_hot(context: Any, count: int, seconds: float) -> None:
    """Fill the hot rack."""
    _accept(context, 'busy', count, seconds, HOT_RACK)
    context.work.run(0.5)
    assert _get_racks(context, 'busy') == {HOT_RACK}


@given('each rack runs {count:d} tasks of {seconds:g} s')
def fill_all(context: Any, count: int, seconds: float) -> None:
    """Fill a part of each rack."""
    workers = context.work.workers.values()
    for rack in sorted({worker.rack for worker in workers}):
        _accept(context, f'busy{rack}', count, seconds, rack)
    context.work.run(0.3)


@when('a job of {tasks:d} tasks of {seconds:g} s wants rack {rack}')
def want_rack(context: Any, tasks: int, seconds: float, rack: str) -> None:
    """Accept a job that prefers a rack."""
    want_racks(context, 1, tasks, seconds, rack)


@when('{count:d} jobs of {tasks:d} tasks of {seconds:g} s want the {rack} rack')
def want_racks(
    context: Any, count: int, tasks: int, seconds: float, rack: str
) -> None:
    """Accept jobs that prefer a rack, one after the other."""
    for _ in range(count):
        job = f'wish{len(context.jobs):02}'
        context.jobs.append(job)
        _accept(context, job, tasks, seconds, RACKS[rack])
        # Jobs of equal rank are placed in the order of their acceptance.
        context.work.now += 0.001


@when('a gang of {tasks:d} tasks of {seconds:g} s is accepted')
def accept_gang(context: Any, tasks: int, seconds: float) -> None:
    """Accept a gang that prefers one rack."""
    context.jobs.append('gang')
    job = JobId('gang')
    context.work.seconds_by_job[job] = seconds
    context.work.accept(job, (make_task_phase(tasks, seconds, is_gang=True),))


@when('the hot rack goes dark')
def darken(context: Any) -> None:
    """Partition the workers of the hot rack."""
    for worker in context.work.workers.values():
        worker.is_partitioned = worker.rack == HOT_RACK


@then('the job has run on the hot rack alone')
def check_near(context: Any) -> None:
    """Check that the job took no longer than its wait and its run."""
    took, run_seconds = get_times(context.work)[context.jobs[0]]
    assert took < run_seconds * FACTOR, (took, run_seconds)
    assert not context.work.scheduler.stats.away


@then('the job runs elsewhere')
def check_away(context: Any) -> None:
    """Check that the tasks run away from the hot rack."""
    racks = _get_racks(context, context.jobs[0])
    assert racks and HOT_RACK not in racks, racks


@then('the {count:d} jobs run elsewhere')
def check_all_away(context: Any, count: int) -> None:
    """Check that the tasks of all jobs run away from the hot rack."""
    for job in context.jobs:
        racks = _get_racks(context, job)
        assert racks and HOT_RACK not in racks, (job, racks)
    assert len(context.jobs) == count


@then('no task of these jobs has started')
def check_unstarted(context: Any) -> None:
    """Check that the jobs wait as a whole."""
    assert not any(_get_racks(context, job) for job in context.jobs)


@then('the last jobs run elsewhere, and the first wait')
def check_order(context: Any) -> None:
    """Check that the jobs that wait were accepted before the others."""
    is_waiting = [not _get_racks(context, job) for job in context.jobs]
    assert True in is_waiting and False in is_waiting, is_waiting
    assert is_waiting == sorted(is_waiting, reverse=True), is_waiting


@then('at most {count:d} phases wait, and no worker elsewhere is idle')
def check_idle(context: Any, count: int) -> None:
    """Check that all room elsewhere is in use."""
    placement = context.work.scheduler
    wall = context.work.get_moment().wall
    waiting = placement.waiting.get_waiting(wall)[SERVICE]
    free = [
        session.get_free_resources().cpu
        for session in placement.sessions.values()
    ]
    assert not any(free), free
    assert len(placement.starts.places.waits.by_phase) <= count
    assert waiting


@then('all of the gang runs on one rack')
def check_gang(context: Any) -> None:
    """Check the rack of the members."""
    assert len(_get_racks(context, 'gang')) == 1


@given(
    'a pool of {racks:d} racks of {workers:d} workers under {rate:g} jobs a '
    'second, {hot:g} of which want one rack, seed {seed:d}'
)
def prepare_load(
    context: Any, racks: int, workers: int, rate: float, hot: float, seed: int
) -> None:
    """Keep the parameters of the load."""
    context.pool = (racks, workers)
    context.load = (rate, hot)
    context.seed = seed


@when('it is played with no wait and with expected gain')
def play_load(context: Any) -> None:
    """Play the same load with two policies."""
    context.results = []
    for policy in (NoWait(), ExpectedGain()):
        model = make_rack_model(context.seed, *context.pool, policy)
        accept_load(model, Random(context.seed), 20, *context.load)
        model.run(30)
        times = [took for took, _ in get_times(model).values()]
        context.results.append((get_late_share(model), mean(times)))


@then('the expected gain has no more late jobs and a lower mean time')
def check_better(context: Any) -> None:
    """Compare the results."""
    without, with_waits = context.results
    assert with_waits[0] <= without[0], context.results
    assert with_waits[1] < without[1], context.results


def _accept(
    context: Any, name: str, tasks: int, seconds: float, rack: str
) -> None:
    job = JobId(name)
    context.work.seconds_by_job[job] = seconds
    context.work.accept(job, (make_task_phase(tasks, seconds, rack),))


def _get_racks(context: Any, job: str) -> set[str]:
    """Get the racks that run tasks of a job."""
    return {
        worker.rack
        for worker in context.work.workers.values()
        for task in worker.runs
        if task.startswith(f'{job}.')
    }
