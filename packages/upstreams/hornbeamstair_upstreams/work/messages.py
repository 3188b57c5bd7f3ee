"""Workers, their room, and what they say of the tasks that they run."""

from enum import Enum
from typing import ClassVar

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
    'Announced',
    'EndReport',
    'HoldAnswer',
    'HoldOrder',
    'OrderAnswer',
    'OrderOutcome',
    'Room',
    'RunEnd',
    'RunReport',
    'StartOrder',
    'StopOrder',
    'TaskNeeds',
    'WorkerGone',
    'WorkerSeen',
)


@frozen
class Room:
    """Processor in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def plus(self, other: 'Room') -> 'Room':
        """Add another room."""
        return Room(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def fits(self, other: 'Room') -> bool:
        """Tell whether another room fits into this one."""
        return (
            other.cpu <= self.cpu
            and other.memory <= self.memory
            and other.accelerators <= self.accelerators
        )

    def minus(self, other: 'Room') -> 'Room':
        """Take another room away."""
        return Room(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@frozen
class TaskNeeds:
    """What a task needs of the worker that runs it."""

    room: Room
    # Rough: the true time may be several times as long or short.
    estimate_seconds: float
    # The run saves its progress from time to time.
    saves: bool = False
    # Runs until its job is cancelled.
    lasts: bool = False
    # Uses only what other tasks leave of the processor.
    fills: bool = False
    # Label that the worker must have; empty for any worker.
    label: str = ''
    # Rack where the work is fastest; empty for any rack.
    data_rack: str = ''
    # All tasks of the phase work fastest on one rack.
    one_rack: bool = False
    # Tasks of one phase that may share a worker; 0 for any number.
    spread_limit: int = 0
    # Tasks of the same image behave alike.
    image: str = ''
    # Response time under which the tail of a serving task must stay; 0 for
    # a task that serves nobody.
    target_seconds: float = 0
    # Tasks of the phase that may be away by orders; None for any number.
    max_away: int | None = None


@frozen
class Announced:
    """What a worker says of itself when it announces itself."""

    worker: WorkerId
    service: ServiceName
    address: str
    port: int
    zone: ZoneName
    room: Room
    # All labels that tasks may require, the rack among them.
    labels: tuple[str, ...]
    rack: RackName
    # Wall-clock milliseconds of the start of this life of the worker.
    incarnation: int
    # Rises with each announcement of a life.
    sequence: int
    is_leaving: bool
    # Seconds for which a leaving worker surely goes on.
    remaining_seconds: float = 0

    def differs(self, recorded: 'Announced') -> bool:
        """Tell whether more than the count of announcements has changed."""
        return recorded != evolve(
            self,
            sequence=recorded.sequence,
            remaining_seconds=recorded.remaining_seconds,
        )


class RunEnd(Enum):
    """How a run ended."""

    done = 'done'
    # By its own fault or the worker's: counts as an attempt.
    failed = 'failed'
    # Stopped, out of lease, or gone with its worker or gang.
    lost = 'lost'
    # A gang member waited too long for the others.
    lonely = 'lonely'


@frozen
class RunReport:
    """Run that a worker has at work."""

    task: TaskId
    run: int
    checkpoint: str
    # Progress in percent; of a lasting task 100 once it is at work.
    percent: float
    # Tail of the response times in ms where the task serves, else the
    # processor in use in thousandths of a core.
    reading: float


@frozen
class EndReport:
    """Run that ended, numbered in the order of the worker's ends."""

    number: int
    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str


class OrderOutcome(Enum):
    """What became of an order to a worker."""

    done = 'done'
    # A newer holder has given orders.
    fenced = 'fenced'
    # The run number is not higher than one that ended there.
    old = 'old'
    # The lease that the order gives has passed already.
    late = 'late'
    # There is no room, or no permission, or the worker is not healthy.
    refused = 'refused'
    # The order is wrong in itself.
    invalid = 'invalid'
    # Another life of the worker, or another worker, answers there.
    other_life = 'other_life'
    # It may have been carried out, or may be later.
    unknown = 'unknown'


@frozen
class OrderAnswer:
    """Answer of a worker to an order, with its clock in seconds."""

    outcome: OrderOutcome
    clock: float | None = None
    incarnation: int | None = None


@frozen
class HoldAnswer:
    """Answer of a worker to a look: what runs and what ended."""

    outcome: OrderOutcome
    clock: float | None = None
    incarnation: int | None = None
    running: tuple[RunReport, ...] = ()
    ended: tuple[EndReport, ...] = ()


@frozen
class HoldOrder:
    """Order to renew the lease of all runs and report ends."""

    worker: WorkerId
    address: str
    port: int
    fencing_token: int
    # Ends up to this number are forgotten by the worker.
    cursor: int
    wait_seconds: float
    # Clock of the worker at which the lease ends; None to only look.
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
    """Order to stop a run, or to refuse it should it arrive later."""

    worker: WorkerId
    address: str
    port: int
    fencing_token: int
    task: TaskId
    run: int


@frozen
class WorkerSeen(Record):
    """Worker that announced itself, or announced something new."""

    kind: ClassVar[str] = 'worker_seen'

    announced: Announced


@frozen
class WorkerGone(Record):
    """Worker that left or was lost for good."""

    kind: ClassVar[str] = 'worker_gone'

    worker: WorkerId
    incarnation: int
