"""Records that explain the silence of workers."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.records import Record

__all__ = ('WorkerDied', 'WorkerSurvived')


@frozen
class WorkerDied(Record):
    """Record that a silent worker went down: another life of it was seen."""

    kind: ClassVar[str] = 'worker_died'

    worker: WorkerId
    incarnation: int


@frozen
class WorkerSurvived(Record):
    """Record that a silent worker answers again, or has ended as planned."""

    kind: ClassVar[str] = 'worker_survived'

    worker: WorkerId
    incarnation: int
