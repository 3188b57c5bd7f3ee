"""Waiting work that may start as soon as there are workers for it."""

from collections.abc import Iterable, Iterator

from attrs import define, evolve, field

from hornbeamstair_callers.jobs.ready import ReadyPhase
from hornbeamstair_callers.jobs.waiting_queue import WaitingJob
from hornbeamstair_callers.workspaces.quotas import StartQuotas, count_fitting
from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_upstreams.work.messages import Resources

__all__ = ('StartableWork',)


@define(eq=False)
class StartableWork:
    """Takes waiting work, over all services, up to the limits in force."""

    quotas: StartQuotas
    allowances: dict[WorkspaceName, Resources | None] = field(factory=dict)

    def select(self, jobs: Iterable[WaitingJob]) -> list[WaitingJob]:
        """Select the jobs with the tasks that their workspaces may start."""
        return list(self._select(jobs))

    def _select(self, jobs: Iterable[WaitingJob]) -> Iterator[WaitingJob]:
        for waiting in jobs:
            workspace = waiting.job.workspace
            if workspace not in self.allowances:
                allowance = self.quotas.get_allowance(workspace)
                self.allowances[workspace] = allowance
            if self.allowances[workspace] is None:
                yield waiting
                continue
            phases = list(self._cut_phases(workspace, waiting.phases))
            if phases:
                yield evolve(waiting, phases=phases)

    def _cut_phases(
        self,
        workspace: WorkspaceName,
        phases: Iterable[ReadyPhase],
    ) -> Iterator[ReadyPhase]:
        for ready in phases:
            tasks = ready.tasks[: self._take(workspace, ready)]
            if tasks:
                yield evolve(ready, tasks=tasks)

    def _take(self, workspace: WorkspaceName, ready: ReadyPhase) -> int:
        allowance = self.allowances[workspace]
        count = len(ready.tasks)
        if allowance is None:
            return count
        room = ready.phase.needs.room
        fitting = min(count, count_fitting(allowance, room))
        taken = 0 if ready.phase.is_gang and fitting < count else fitting
        self.allowances[workspace] = Resources(
            allowance.cpu - room.cpu * taken,
            allowance.memory - room.memory * taken,
            allowance.accelerators - room.accelerators * taken,
        )
        return taken
