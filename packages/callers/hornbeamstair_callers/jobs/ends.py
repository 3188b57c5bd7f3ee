"""Records of ended runs and of the jobs that fail because of them."""

from collections.abc import Iterable, Iterator

from attrs import define

from hornbeamstair_callers.jobs.job import Job
from hornbeamstair_callers.jobs.messages import get_job_id, parse_task_id
from hornbeamstair_callers.jobs.orphaned_runs import log_orphaned_runs
from hornbeamstair_callers.jobs.records import (
    JobFailed,
    RunEnded,
    RunExpired,
)
from hornbeamstair_callers.jobs.run_event_log import RunEventLog
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.records import Record
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_upstreams.work.messages import RunEnd
from hornbeamstair_upstreams.work.runs import EndedRun, Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('EndRecorder',)


@define(eq=False)
class EndRecorder:
    """Creates the records of ended runs."""

    jobs: JobTable
    manifest: ManifestTable
    waiting: WaitingJobs
    run_event_log: RunEventLog

    def get_records(
        self,
        session: WorkerSession,
        ended: Iterable[EndedRun],
        now: Moment,
    ) -> Iterator[Record]:
        """Create the records of runs that ended on a worker."""
        log_orphaned_runs(session, self.jobs)
        for end in ended:
            run = end.run
            self.run_event_log.add_ended(session.announced.worker, end, now)
            # A run whose start is not committed yet is handled when the record
            # of the start is applied.
            if run.state != RunState.recorded:
                yield from self._get_run_records(session, end, now)

    def _get_run_records(
        self,
        session: WorkerSession,
        ended: EndedRun,
        now: Moment,
    ) -> Iterator[Record]:
        run = ended.run
        self.waiting.in_flight[run.task] = now.monotonic
        common = (
            run.task,
            run.run,
            ended.end,
            ended.checkpoint,
            now.wall,
            run.is_proven,
        )
        if ended.end == RunEnd.expired:
            # An order may have reached a later incarnation than it was for.
            incarnation = session.announced.incarnation
            yield RunExpired(*common, session.get_address(), incarnation)
        else:
            yield RunEnded(*common)
        if ended.end == RunEnd.failed and self._is_last_attempt(run):
            yield JobFailed(get_job_id(run.task), now.wall)

    def _is_last_attempt(self, run: Run) -> bool:
        """Return whether a failure uses up the attempts of a task."""
        job = self.jobs.jobs.get(get_job_id(run.task))
        if job is None or run.needs.lasts or not job.is_open:
            return False
        queue = self.manifest.find_queue_by_name(job.queue)
        if queue is None:
            return False
        return _count_earlier_failures(job, run) + 1 >= queue.max_attempts


def _count_earlier_failures(job: Job, run: Run) -> int:
    """Count the failed attempts of a task, or of its gang, before a run."""
    position = parse_task_id(run.task)
    if not job.spec.phases[position.key.phase].is_gang:
        return job.get_task(run.task).failures
    failed_runs = job.gang_failures.get(position.key.phase_id, ())
    return len(set(failed_runs) - {run.run})
