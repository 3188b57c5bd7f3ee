"""Manifest of queues and services that operators put in force."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import QueueName, ServiceName
from hornbeamstair_core.records import Record

__all__ = (
    'AdviceTerms',
    'Manifest',
    'ManifestPut',
    'ManifestState',
    'Queue',
    'WorkService',
)


@frozen
class AdviceTerms:
    """Terms of the advice that a queue needs before a start, in seconds."""

    decision_seconds: float
    worker_seconds: float
    valid_seconds: float


@frozen
class Queue:
    """Queue of jobs: where callers reach it and what they are promised."""

    queue: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    # Seconds that a call to the queue may take.
    call_timeout: float
    # 0 comes first and may pre-empt others.
    priority: int
    max_attempts: int
    # The objective of a job: stretch times its longest chain of work, and
    # so many seconds more.
    stretch: float
    target_seconds: float
    advice: AdviceTerms | None = None


@frozen
class WorkService:
    """Service whose workers run the tasks of queues."""

    service: ServiceName
    # Workers refuse what does not fit; others start whatever they are told.
    guards_room: bool
    # Machines of a standby service are switched off and cost nothing.
    is_standby: bool


@frozen
class Manifest:
    """Queues and services of one version, and the document as sent."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[WorkService, ...]
    document: bytes


@frozen
class ManifestPut(Record):
    """Manifest that takes effect if its version is the highest."""

    kind: ClassVar[str] = 'manifest_put'

    manifest: Manifest


@frozen
class ManifestState:
    """Manifest in force, if there is one, and queues that were dropped."""

    manifest: Manifest | None
    dropped: tuple[Queue, ...] = ()
