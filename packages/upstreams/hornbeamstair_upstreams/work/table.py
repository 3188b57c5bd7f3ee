"""Replicated table of the announced workers."""

from typing import Any, ClassVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import WorkerId, ZoneName
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_upstreams.work.messages import (
    WorkerAnnouncement,
    WorkerGone,
    WorkerSeen,
)

__all__ = ('WorkerTable', 'WorkerTableState')


@frozen
class WorkerTableState:
    """Snapshot of the worker table."""

    workers: tuple[WorkerAnnouncement, ...]


@define(eq=False)
class WorkerTable(RecordTable):
    """Last recorded announcement of each worker."""

    name: ClassVar[str] = 'workers'
    records: ClassVar[tuple[type[Record], ...]] = (WorkerSeen, WorkerGone)
    state_class: ClassVar[type[Any]] = WorkerTableState

    workers: dict[WorkerId, WorkerAnnouncement] = field(factory=dict)

    def apply(self, record: Record) -> object:
        """Add, update or remove a worker."""
        match record:
            case WorkerSeen(announced):
                known = self.workers.get(announced.worker)
                # The record of a previous leader may be late.
                if known is None or not announced.precedes(known):
                    self.workers[announced.worker] = announced
            case WorkerGone(worker, incarnation):
                known = self.workers.get(worker)
                if known is not None and known.incarnation <= incarnation:
                    self.workers.pop(worker)
        return None

    def find_zone(self, worker: WorkerId) -> ZoneName | None:
        """Find the zone of a worker; None if the worker is not known."""
        announced = self.workers.get(worker)
        return None if announced is None else announced.zone

    def get_state(self) -> WorkerTableState:
        """Get the workers."""
        return WorkerTableState(tuple(self.workers.values()))

    def restore_state(self, state: Any) -> None:
        """Replace the workers."""
        workers = () if state is None else state.workers
        self.workers = {announced.worker: announced for announced in workers}
