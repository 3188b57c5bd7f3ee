"""Effects that the scheduler asks its endpoint to carry out."""

from attrs import frozen

from hornbeamstair_core.effects import Effect
from hornbeamstair_core.records import Record
from hornbeamstair_upstreams.work.messages import StartOrder, StopOrder
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('CommitBatch', 'SendStart', 'SendStop', 'WatchWorker')


@frozen
class CommitBatch(Effect):
    """Commit records, then tell the scheduler.

    Once they are committed the life of the worker that listed its ends may
    forget them, up to the number that names the batch.
    """

    records: tuple[Record, ...]
    session: WorkerSession | None = None
    incarnation: int = 0
    cursor: int = 0


@frozen
class SendStart(Effect):
    """Order a worker to start a run."""

    session: WorkerSession
    order: StartOrder


@frozen
class SendStop(Effect):
    """Order a worker to stop a run."""

    session: WorkerSession
    order: StopOrder


@frozen
class WatchWorker(Effect):
    """Look at a worker for as long as the scheduler knows it."""

    session: WorkerSession
