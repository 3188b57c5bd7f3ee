"""Steps with gangs, whose members start and end together."""

from typing import Any

from attrs import evolve
from behave import then, when

from hornbeamstair_callers.jobs.messages import PhaseKey, make_task_id
from hornbeamstair_callers.jobs.records import JobFailed, RunStarted
from hornbeamstair_core.ids import JobId, TaskId
from hornbeamstair_upstreams.work.messages import RunEnd
from hornbeamstair_upstreams.work.proofs import EndProof
from hornbeamstair_upstreams.work.runs import EndedRun, Run, RunState
from tests.support.work_model import WorkModel, make_phase

JOB = JobId('2' * 16)
PHASE = evolve(make_phase(2, 1000), is_gang=True)
MEMBERS = [make_task_id(PhaseKey(JOB, 0, 0), index) for index in (0, 1)]
MOST_RUNS = 9


@when(
    'a gang of 2 tasks fails in each run by {members}, with {changes} of the '
    'leader',
)
def fail_gang(context: Any, members: str, changes: str) -> None:
    """Record runs whose members fail, until the job has failed."""
    work = context.work
    work.run(1)
    work.accept(JOB, (PHASE,))
    context.failed_with = None
    for run in range(1, MOST_RUNS):
        if context.failed_with is None and _fail_run(
            work, run, _get_failing(members, run)
        ):
            context.failed_with = run
        if changes == 'a change':
            work.change_leader()


@then('the job fails with run {run:d}, its last attempt')
def check_failed(context: Any, run: int) -> None:
    """Check with which run the job has failed."""
    assert context.failed_with == run, context.failed_with


def _get_failing(members: str, run: int) -> list[TaskId]:
    match members:
        case 'both members':
            return MEMBERS
        case 'the first member':
            return MEMBERS[:1]
    return [MEMBERS[run % 2]]


def _fail_run(work: WorkModel, run: int, failing: list[TaskId]) -> bool:
    """Start and end a run of a gang; return whether its job has failed."""
    session = next(iter(work.scheduler.sessions.values()))
    worker = session.announced.worker
    work.apply(
        tuple(RunStarted(task, run, worker, 1, work.now) for task in MEMBERS),
    )
    for task in MEMBERS:
        ended = EndedRun(
            Run(task, run, PHASE.needs, f'{JOB}.0.0', RunState.running, 0),
            RunEnd.failed if task in failing else RunEnd.lost,
            '',
            EndProof.listed,
        )
        # Decided before any of them is applied.
        records = tuple(
            work.scheduler.ends.get_records(
                session, (ended,), work.get_moment()
            ),
        )
        for record in records:
            work.apply((record,))
        if any(isinstance(record, JobFailed) for record in records):
            return True
    return False
