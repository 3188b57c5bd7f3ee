"""Steps with jobs that are cancelled before they are accepted."""

from asyncio import run
from collections.abc import Sequence
from typing import Any

from attrs import define, field
from behave import then, when
from expression import Ok, Result

from hornbeamstair_callers.jobs.early_cancellations import UnknownJobCancelled
from hornbeamstair_callers.jobs.messages import JobSpec, JobState
from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_callers.jobs.requests import (
    CancelJob,
    QueueAddress,
    SubmitJob,
)
from hornbeamstair_callers.jobs.scheduler import Scheduler
from hornbeamstair_callers.jobs.service import (
    JobRequestHandler,
    RecordCommitter,
)
from hornbeamstair_callers.jobs.table import JobTableState
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import JobId, WorkspaceName
from hornbeamstair_core.records import Record
from tests.support.work_model import QUEUE, SERVICE, WorkModel, make_phase

JOB = JobId(f'{70:016x}')
OTHER_JOB = JobId(f'{71:016x}')
SPEC = JobSpec(JOB, 'text', (make_phase(2, cpu=500),))
ADDRESS = QueueAddress('host', f'/stops/{JOB}')


@define(eq=False)
class ModelCommitter(RecordCommitter):
    """Committer that applies records at once, behind others."""

    work: WorkModel
    committed: list[Record] = field(factory=list)
    # Records that are applied before the next ones.
    earlier: list[Record] = field(factory=list)

    async def commit(self, records: Sequence[Record]) -> Result[None, Failure]:
        """Apply records."""
        self.work.apply((*self.earlier, *records))
        self.earlier.clear()
        self.committed.extend(records)
        return Ok(None)

    def find_scheduler(self) -> Scheduler | None:
        """Find the scheduler of the model."""
        return self.work.scheduler

    def on_applied(self, record: Record) -> None:
        """Leave the record to the model."""


def _get_committer(context: Any) -> ModelCommitter:
    if 'committer' not in context:
        context.committer = ModelCommitter(context.work)
    return context.committer


def _ask(context: Any, request: CancelJob | SubmitJob) -> Any:
    work = context.work
    handler = JobRequestHandler(
        work.tables, _get_committer(context), work.get_moment
    )
    return run(handler.handle(request))


@when('a caller cancels a job that is not known')
def cancel_unknown(context: Any) -> None:
    """Cancel a job that nobody has submitted yet."""
    context.cancelled = _ask(context, CancelJob(ADDRESS, JOB))


@when('a caller cancels a job that is accepted before the record of that')
def cancel_accepted(context: Any) -> None:
    """Accept the job while its cancellation is being recorded."""
    work = context.work
    work.phases[f'{JOB}.0'] = SPEC.phases[0]
    accepted = JobAccepted(SPEC, QUEUE, SERVICE, work.now)
    _get_committer(context).earlier.append(accepted)
    cancel_unknown(context)


@when('the job is submitted')
def submit(context: Any) -> None:
    """Submit the job."""
    context.work.phases[f'{JOB}.0'] = SPEC.phases[0]
    context.submitted = _ask(context, SubmitJob(ADDRESS, SPEC, 1))


@when('another unknown job is cancelled {seconds:d} seconds later')
def cancel_other(context: Any, seconds: int) -> None:
    """Cancel another job, which removes old cancellations."""
    work = context.work
    work.run(seconds)
    work.apply((UnknownJobCancelled(OTHER_JOB, work.now),))


@when('{count:d} unknown jobs are cancelled')
def cancel_many(context: Any, count: int) -> None:
    """Cancel many jobs within a moment."""
    work = context.work
    context.jobs = [JobId(f'{number:016x}') for number in range(count)]
    work.apply(
        tuple(UnknownJobCancelled(job, work.now) for job in context.jobs)
    )


def _get_workspace(name: str) -> WorkspaceName:
    return WorkspaceName('' if name == 'nobody' else name)


@when('workspace {name} cancels a job that is not known')
def cancel_as(context: Any, name: str) -> None:
    """Cancel a job of whichever workspace."""
    work = context.work
    work.apply((UnknownJobCancelled(JOB, work.now, _get_workspace(name)),))


@when('the job of workspace {name} is accepted')
def accept_of(context: Any, name: str) -> None:
    """Accept the job of a workspace."""
    work = context.work
    owner = _get_workspace(name)
    work.apply((JobAccepted(SPEC, QUEUE, SERVICE, work.now, owner),))


@when('a job table of an earlier version is restored')
def restore_earlier(context: Any) -> None:
    """Restore a state without cancellations."""
    work = context.work
    work.apply((UnknownJobCancelled(JOB, work.now),))
    converter = work.machine.codec.converter
    state = converter.structure({'jobs': []}, JobTableState)
    work.tables.jobs.restore_state(state)


@then('the caller of the cancellation was told that the job is not known')
def check_cancelled(context: Any) -> None:
    """Check the answer to the cancellation."""
    assert context.cancelled.error.name == 'job_unknown', context.cancelled


@then('the caller of the submission was told that it was accepted')
def check_submitted(context: Any) -> None:
    """Check the answer to the submission."""
    assert context.submitted.is_ok(), context.submitted


@then('the job was cancelled, has never run and is not pending')
def check_never_run(context: Any) -> None:
    """Check the state of the job and the starts of its tasks."""
    work = context.work
    check_state(context, JobState.cancelled.value)
    assert not work.starts, work.starts_by_task
    assert not work.scheduler.unstarted.count(QUEUE)


@then('the state of the job is {state}')
def check_state(context: Any, state: str) -> None:
    """Check the state of the job."""
    job = context.work.tables.jobs.jobs[JOB]
    assert job.state.value == state, job.state


@then('one cancellation was recorded')
def check_recorded(context: Any) -> None:
    """Check the committed records."""
    committed = context.committer.committed
    assert len(committed) == 1, committed


@then('{count:d} cancellations are kept, of the jobs that were cancelled last')
def check_kept(context: Any, count: int) -> None:
    """Check the cancellations of the table."""
    kept = context.work.tables.jobs.early_cancellations.get_all()
    assert [found.job for found in kept] == context.jobs[-count:], len(kept)


@then('one cancellation is kept')
def check_last(context: Any) -> None:
    """Check that only the last cancellation is kept."""
    kept = context.work.tables.jobs.early_cancellations.get_all()
    assert [found.job for found in kept] == [OTHER_JOB], kept


@then('no cancellations are kept')
def check_empty(context: Any) -> None:
    """Check that the table keeps no cancellations."""
    assert not context.work.tables.jobs.early_cancellations.recent
