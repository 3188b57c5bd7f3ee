"""Workers, faults and leaders with an oracle for the limits of workspaces."""

from collections import deque
from functools import reduce
from random import Random

from attrs import define, evolve, field
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from hornbeamstair_callers.jobs.messages import JobSpec, Phase
from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_core.ids import JobId, TaskId, WorkspaceName
from hornbeamstair_operators.manifest.messages import ManifestPut, Workspace
from hornbeamstair_upstreams.work.messages import Resources
from tests.support.work_model import (
    QUEUE,
    SERVICE,
    ModelRun,
    ModelWorker,
    WorkModel,
    drain_worker,
    make_phase,
    repair_and_finish,
    replace_worker,
)

# Orders are executed at most this late; until then a start may follow the
# limits of an earlier manifest.
LATE_SECONDS = 13.0


@define(eq=False)
class WorkspaceModel(WorkModel):
    """Work model that checks at each start what the workspaces run."""

    # Workspaces of the manifests, with the time of each; oldest first.
    limits: 'deque[tuple[float, dict[WorkspaceName, Workspace]]]' = field(
        factory=deque
    )
    owners: dict[JobId, WorkspaceName] = field(factory=dict)
    accepted_at: dict[JobId, float] = field(factory=dict)
    # For how long limits of an earlier manifest count.
    tolerance_seconds: float = 0

    def put_workspaces(self, *workspaces: Workspace) -> None:
        """Put a manifest with workspaces in force."""
        known = self.tables.manifest.manifest
        assert known is not None
        manifest = evolve(
            known, version=known.version + 1, workspaces=workspaces
        )
        self.apply((ManifestPut(manifest),))
        by_name = {found.workspace: found for found in workspaces}
        self.limits.append((self.now, by_name))

    def accept_of(
        self, workspace: str, job: JobId, phases: tuple[Phase, ...]
    ) -> None:
        """Accept a job of a workspace."""
        for number, phase in enumerate(phases):
            self.phases[f'{job}.{number}'] = phase
        self.owners[job] = WorkspaceName(workspace)
        self.accepted_at[job] = self.now
        spec = JobSpec(job, 'text', phases)
        self.apply(
            (JobAccepted(spec, QUEUE, SERVICE, self.now, self.owners[job]),)
        )

    def check_start(
        self, worker: ModelWorker, run: ModelRun, now: float
    ) -> None:
        """Check that a start keeps its workspace within its limit."""
        WorkModel.check_start(self, worker, run, now)
        workspace = self.get_owner(run.task)
        used = self.get_running(workspace).cpu
        limit = self.get_highest_limit(workspace)
        assert used <= limit, f'{workspace} runs {used} of {limit}'

    def get_owner(self, task: TaskId) -> WorkspaceName:
        """Get the workspace of a task."""
        return self.owners[JobId(task.partition('.')[0])]

    def get_running(self, workspace: WorkspaceName) -> Resources:
        """Get what a workspace runs on all workers."""
        rooms = [
            self.get_phase(run.task).needs.room
            for worker in self.workers.values()
            for run in worker.runs.values()
            if self.get_owner(run.task) == workspace
        ]
        return reduce(Resources.plus, rooms, Resources())

    def get_highest_limit(self, workspace: WorkspaceName) -> float:
        """Get the highest limit on the CPU that may be in force."""
        since = self.now - self.tolerance_seconds
        while len(self.limits) > 1 and self.limits[1][0] <= since:
            self.limits.popleft()
        found = [by_name.get(workspace) for _, by_name in self.limits]
        return max(
            limits.max_cpu if limits and limits.max_cpu else float('inf')
            for limits in found
        )

    def count_completed(self, workspace: str, seconds: float) -> int:
        """Count the jobs of a workspace done within a time of acceptance."""
        return sum(
            job.ended_at - job.accepted_at <= seconds
            for job in self.tables.jobs.jobs.values()
            if job.workspace == workspace and job.state.value == 'completed'
        )


class QuotaStateMachine(RuleBasedStateMachine):
    """Manifests, jobs, faults and leader changes in any order."""

    def __init__(self) -> None:
        """Start a model whose faults are drawn by hypothesis."""
        super().__init__()
        self.model = WorkspaceModel(
            Random(1),
            lost_share=0.1,
            delayed_share=0.1,
            held_share=0.05,
            tolerance_seconds=LATE_SECONDS,
        )
        self.count = 0
        self.put(20000, 20000)

    @rule(
        north=st.sampled_from((0, 6000, 12000, 24000)),
        south=st.sampled_from((3000, 20000)),
    )
    def put(self, north: int, south: int) -> None:
        """Put other limits in force."""
        self.model.put_workspaces(
            Workspace(WorkspaceName('north'), max_cpu=north),
            Workspace(WorkspaceName('south'), weight=3, max_cpu=south),
        )

    @rule(
        workspace=st.sampled_from(('north', 'south')),
        tasks=st.integers(1, 8),
        cpu=st.sampled_from((500, 3000, 5000)),
        lasts=st.booleans(),
        is_gang=st.booleans(),
    )
    def accept(
        self, workspace: str, tasks: int, cpu: int, lasts: bool, is_gang: bool
    ) -> None:
        """Accept a job."""
        self.count += 1
        phase = make_phase(tasks, cpu, lasts=lasts)
        if not lasts and tasks * cpu <= 3000:
            phase = evolve(phase, is_gang=is_gang)
        job = JobId(f'{self.count:016x}')
        self.model.accept_of(workspace, job, (phase,))

    @rule(seconds=st.sampled_from((0.1, 0.3, 0.6)))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.model.run(seconds)

    @rule(worker=st.integers(0, 2))
    def crash(self, worker: int) -> None:
        """Crash and restart a worker."""
        self._get_worker(worker).crash(self.model.now)

    @rule(worker=st.integers(0, 2), is_partitioned=st.booleans())
    def disconnect(self, worker: int, is_partitioned: bool) -> None:
        """Partition a worker, or heal its partition."""
        self._get_worker(worker).is_partitioned = is_partitioned

    @rule(worker=st.integers(0, 2))
    def drain(self, worker: int) -> None:
        """Request the stop of all runs of a worker."""
        drain_worker(self.model, self._get_worker(worker).worker)

    @rule(worker=st.integers(0, 2))
    def replace(self, worker: int) -> None:
        """Replace a crashed worker by another one."""
        replace_worker(self.model, self._get_worker(worker).worker)

    @rule()
    def change_leader(self) -> None:
        """Change the leader; its tables are restored from a snapshot."""
        self.model.change_leader()

    @rule(number=st.integers(1, 10))
    def cancel(self, number: int) -> None:
        """Cancel a job that is open."""
        job = JobId(f'{number:016x}')
        found_job = self.model.tables.jobs.jobs.get(job)
        if found_job is not None and found_job.is_open:
            self.model.cancel(job)

    def teardown(self) -> None:
        """Lift the limits of gangs, repair all and check that all jobs end."""
        self.put(24000, 20000)
        repair_and_finish(self.model)
        assert not self.model.tables.jobs.usage.runs

    def _get_worker(self, number: int) -> ModelWorker:
        return list(self.model.workers.values())[number]
