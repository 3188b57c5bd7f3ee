"""Messages between the leader and the workers, and worker records."""

from enum import Enum
from typing import ClassVar, Final

from attrs import evolve, frozen

from hornbeamstair_core.ids import (
    RackName,
    ServiceName,
    TaskId,
    WorkerId,
    ZoneName,
)
from hornbeamstair_core.records import Record

__all__ = (
    'WorkerAnnouncement',
    'EndReport',
    'PollAnswer',
    'PollOrder',
    'OrderAnswer',
    'OrderOutcome',
    'Resources',
    'RunEnd',
    'RunReport',
    'StartOrder',
    'StopOrder',
    'TaskNeeds',
    'UNANSWERED_OUTCOMES',
    'WorkerGone',
    'WorkerSeen',
)


@frozen
class Resources:
    """Resources: CPU in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Add resources."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def fits(self, other: 'Resources') -> bool:
        """Return whether a request for resources fits into these."""
        return (
            other.cpu <= self.cpu
            and other.memory <= self.memory
            and other.accelerators <= self.accelerators
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Subtract resources."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@frozen
class TaskNeeds:
    """Requirements of a task on the worker that runs it."""

    room: Resources
    # Rough estimate: the run may take several times as long, or as short.
    estimate_seconds: float
    # The run writes checkpoints.
    saves: bool = False
    # Long-running: runs until its job is cancelled.
    lasts: bool = False
    # Backfill task: uses only CPU time that other tasks leave idle.
    fills: bool = False
    # Label that the worker must have; empty matches any worker.
    label: str = ''
    # Preferred rack, close to the data of the task; empty for no preference.
    data_rack: str = ''
    # Prefer one rack for all tasks of the phase.
    one_rack: bool = False
    # Maximum tasks of the phase on one worker; 0 for no limit.
    spread_limit: int = 0
    # Tasks with the same image are expected to behave alike.
    image: str = ''
    # Limit on the tail response time of a serving task; 0 for a task that
    # serves no requests.
    target_seconds: float = 0
    # Maximum tasks of the phase unavailable at once through stops that the
    # leader orders; None for no limit.
    max_away: int | None = None


@frozen
class WorkerAnnouncement:
    """Announcement of a worker."""

    worker: WorkerId
    service: ServiceName
    address: str
    port: int
    zone: ZoneName
    # Total resources of the worker, free or in use.
    room: Resources
    # All labels that tasks may require, including the rack.
    labels: tuple[str, ...]
    rack: RackName
    # Start time of the worker process, in wall-clock milliseconds.
    incarnation: int
    # Increases with each announcement of an incarnation.
    sequence: int
    is_leaving: bool
    # Minimum time for which a leaving worker keeps running.
    remaining_seconds: float = 0

    def precedes(self, other: 'WorkerAnnouncement') -> bool:
        """Return whether another announcement of the worker is newer."""
        return (self.incarnation, self.sequence) < (
            other.incarnation,
            other.sequence,
        )

    def differs(self, recorded: 'WorkerAnnouncement') -> bool:
        """Return whether more changed than the sequence or remaining time."""
        return recorded != evolve(
            self,
            sequence=recorded.sequence,
            remaining_seconds=recorded.remaining_seconds,
        )


class RunEnd(Enum):
    """Result of a run."""

    done = 'done'
    # Failed through the task or the worker; counts as an attempt.
    failed = 'failed'
    # Stopped or refused, or the worker left as planned, or the gang was lost.
    lost = 'lost'
    # The worker was silent until the lease of the run had expired: it went down
    # or was cut off.
    expired = 'expired'
    # The worker went down: another life of it was seen.
    crashed = 'crashed'
    # A gang member timed out waiting for the others.
    lonely = 'lonely'


@frozen
class RunReport:
    """Run in progress on a worker."""

    task: TaskId
    run: int
    checkpoint: str
    # Progress in percent; 100 for a long-running task once it has started.
    percent: float
    # Tail response time in ms for a serving task, otherwise CPU usage in
    # thousandths of a core.
    reading: float


@frozen
class EndReport:
    """End of a run; numbers increase in the order of a worker's ends."""

    number: int
    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str


class OrderOutcome(Enum):
    """Outcome of an order to a worker."""

    done = 'done'
    # The worker has seen a higher fencing token.
    fenced = 'fenced'
    # A run of the task with the same or a higher number has ended there.
    old = 'old'
    # The lease granted by the order has already expired.
    late = 'late'
    # No free resources, no permission, or the worker is unhealthy.
    refused = 'refused'
    # The order is malformed.
    invalid = 'invalid'
    # Another incarnation of the worker, or another worker, listens at the
    # address.
    other_life = 'other_life'
    # The order expired before it could be sent, and never will be.
    unsent = 'unsent'
    # There was no connection to the worker, and the order never reaches it.
    undelivered = 'undelivered'
    # The order may have been executed, or may still be.
    unknown = 'unknown'


# The worker did not answer.
UNANSWERED_OUTCOMES: Final = frozenset(
    (OrderOutcome.undelivered, OrderOutcome.unknown),
)


@frozen
class OrderAnswer:
    """Answer of a worker to an order; the clock is in seconds."""

    outcome: OrderOutcome
    clock: float | None = None
    incarnation: int | None = None


@frozen
class PollAnswer:
    """Answer of a worker to a poll: running and ended runs."""

    outcome: OrderOutcome
    clock: float | None = None
    incarnation: int | None = None
    running: tuple[RunReport, ...] = ()
    ended: tuple[EndReport, ...] = ()


@frozen
class PollOrder:
    """Poll: order to renew the lease of all runs and report ends."""

    worker: WorkerId
    address: str
    port: int
    fencing_token: int
    # Acknowledges the ends up to this number; the worker may drop them.
    cursor: int
    wait_seconds: float
    # End of the lease on the worker's clock; None to poll without renewal.
    lease_end: float | None


@frozen
class StartOrder:
    """Order to start a run."""

    worker: WorkerId
    address: str
    port: int
    fencing_token: int
    task: TaskId
    run: int
    spec: str
    lease_end: float
    checkpoint: str = ''
    ticket: str = ''


@frozen
class StopOrder:
    """Order to stop a run, or to refuse its start if that arrives later."""

    worker: WorkerId
    address: str
    port: int
    fencing_token: int
    task: TaskId
    run: int


@frozen
class WorkerSeen(Record):
    """Record of a new worker or of a changed announcement."""

    kind: ClassVar[str] = 'worker_seen'

    announced: WorkerAnnouncement


@frozen
class WorkerGone(Record):
    """Record that a worker left or was lost permanently."""

    kind: ClassVar[str] = 'worker_gone'

    worker: WorkerId
    incarnation: int
