"""Order in which a placement pass takes the waiting jobs of a service."""

from heapq import heapify, heappop, heappush
from typing import Final

from attrs import define

from hornbeamstair_callers.jobs.records import RunStarted
from hornbeamstair_callers.jobs.starts import StartPlanner
from hornbeamstair_callers.jobs.waiting import WaitingJobs
from hornbeamstair_callers.jobs.waiting_queue import (
    ServiceQueue,
    WaitingJob,
    WaitingQueue,
)
from hornbeamstair_callers.workspaces.quotas import StartQuotas
from hornbeamstair_callers.workspaces.shares import WorkspaceShares
from hornbeamstair_core.ids import ServiceName, WorkspaceName
from hornbeamstair_core.moments import Moment
from hornbeamstair_upstreams.work.index import WorkerIndex
from hornbeamstair_upstreams.work.placement import Placement

__all__ = ('PlacementPasses',)

# Unplaced jobs that one scan examines. Beyond this, the scan takes longer
# than the handling of a run end and a start.
_MAX_UNPLACED_JOBS: Final = 48
# Leading elements of a sort key that go before the share of a workspace:
# the class of the job and its priority.
_CLASS_ELEMENTS: Final = 2

_Rank = tuple[float, ...]


@define(eq=False)
class _Cursor:
    """Position of a scan in the queue of one workspace."""

    workspace: WorkspaceName
    queue: WaitingQueue
    at: int = 0

    def has_job(self) -> bool:
        """Return whether the scan has not reached the end of the queue."""
        return self.at < len(self.queue.jobs)

    def get_job(self) -> WaitingJob:
        """Get the job at the position."""
        return self.queue.jobs[self.at]


@define(eq=False)
class PlacementPasses:
    """Takes the jobs of the workspaces by class, priority and share.

    A workspace that is at its limit drops out of a pass, so that its jobs
    hold nobody else back.
    """

    waiting: WaitingJobs
    starts: StartPlanner
    index: WorkerIndex
    quotas: StartQuotas
    shares: WorkspaceShares

    def place_first(
        self,
        service: ServiceName,
        queue: ServiceQueue,
        now: Moment,
    ) -> list[RunStarted]:
        """Place the jobs that come first."""
        records: list[RunStarted] = []
        placement = self._make_placement(service, now)
        self._scan_first(queue, placement, now, records)
        return records

    def place_all(
        self,
        service: ServiceName,
        queue: ServiceQueue,
        now: Moment,
    ) -> list[RunStarted]:
        """Place the jobs that come first, then later ones in turns.

        A scan stops after a fixed number of jobs that stay unplaced, so
        that a long backlog does not make the pass slow. Later jobs are
        scanned in turns for the resources that the first ones cannot use.
        """
        records: list[RunStarted] = []
        placement = self._make_placement(service, now)
        cursors = self._scan_first(queue, placement, now, records)
        budget = max(_MAX_UNPLACED_JOBS // max(len(cursors), 1), 1)
        for cursor in cursors:
            cursor.at = max(cursor.at, cursor.queue.get_resume_index())
            end = cursor.at + budget
            while cursor.has_job() and cursor.at < end:
                if self.quotas.is_held(cursor.workspace):
                    break
                self._place_job(cursor, placement, now, records)
            cursor.queue.set_resume_index(cursor.at)
        return records

    def _make_placement(self, service: ServiceName, now: Moment) -> Placement:
        return self.starts.make_placement(self.index, service, now.monotonic)

    def _scan_first(
        self,
        queue: ServiceQueue,
        placement: Placement,
        now: Moment,
        records: list[RunStarted],
    ) -> list[_Cursor]:
        """Place the first jobs; return the positions where the scan ended."""
        cursors = [
            _Cursor(name, jobs)
            for name, jobs in queue.by_workspace.items()
            if jobs.jobs
        ]
        heap = [
            (self._rank(cursor, placement), cursor.workspace, cursor)
            for cursor in cursors
        ]
        heapify(heap)
        unplaced = 0
        while heap and unplaced < _MAX_UNPLACED_JOBS:
            cursor = heappop(heap)[-1]
            if self.quotas.is_held(cursor.workspace):
                continue
            unplaced += self._place_job(cursor, placement, now, records)
            if cursor.has_job():
                rank = self._rank(cursor, placement)
                heappush(heap, (rank, cursor.workspace, cursor))
        return cursors

    def _place_job(
        self,
        cursor: _Cursor,
        placement: Placement,
        now: Moment,
        records: list[RunStarted],
    ) -> bool:
        """Place a job; return whether it still has tasks to start."""
        waiting = cursor.get_job()
        records.extend(self.starts.place_job(waiting, placement, now))
        # A job leaves the queue once all its tasks are placed.
        has_tasks_left = self.waiting.has_tasks_left(waiting)
        cursor.at += has_tasks_left
        return has_tasks_left

    def _rank(self, cursor: _Cursor, placement: Placement) -> _Rank:
        key = cursor.get_job().key
        share = self.shares.get_share(placement.service, cursor.workspace)
        return (*key[:_CLASS_ELEMENTS], share, *key[_CLASS_ELEMENTS:])
