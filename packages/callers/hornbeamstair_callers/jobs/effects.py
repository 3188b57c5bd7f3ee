"""Effects that the endpoint executes for the scheduler."""

from attrs import frozen

from hornbeamstair_core.effects import Effect
from hornbeamstair_core.records import Record
from hornbeamstair_upstreams.work.messages import StartOrder, StopOrder
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('CommitBatch', 'SendStart', 'SendStop', 'PollWorker')


@frozen
class CommitBatch(Effect):
    """Commit records, then call back the scheduler.

    After the commit the worker incarnation that listed the ends can discard
    them up to the cursor.
    """

    records: tuple[Record, ...]
    session: WorkerSession | None = None
    incarnation: int = 0
    cursor: int = 0


@frozen
class SendStart(Effect):
    """Order a worker to start a run, by a time of the leader's clock."""

    session: WorkerSession
    order: StartOrder
    valid_until: float


@frozen
class SendStop(Effect):
    """Order a worker to stop a run, by a time of the leader's clock."""

    session: WorkerSession
    order: StopOrder
    valid_until: float


@frozen
class PollWorker(Effect):
    """Poll a worker for as long as the scheduler knows it."""

    session: WorkerSession
