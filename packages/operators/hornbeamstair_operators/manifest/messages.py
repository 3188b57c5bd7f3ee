"""Messages and records of the manifest."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import QueueName, ServiceName, WorkspaceName
from hornbeamstair_core.records import Record

__all__ = (
    'AdviceTerms',
    'Manifest',
    'ManifestPut',
    'ManifestState',
    'Queue',
    'WorkService',
    'Workspace',
)


@frozen
class AdviceTerms:
    """Times, in seconds, of the advice on workers.

    A queue with these times needs the advice before each start of a task.
    """

    decision_seconds: float
    worker_seconds: float
    valid_seconds: float


@frozen
class Queue:
    """Queue of jobs: the host and path of its callers, and its parameters."""

    queue: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    # Longest duration of a call to the queue, in seconds.
    call_timeout: float
    # 0 is the highest; its tasks may pre-empt others.
    priority: int
    max_attempts: int
    # The objective of a job is `stretch` times the duration of its longest
    # chain of dependent work, plus `target_seconds`.
    stretch: float
    target_seconds: float
    advice: AdviceTerms | None = None
    # Calls to an open queue need no key and belong to no workspace.
    is_open: bool = False


@frozen
class WorkService:
    """Service whose workers run the tasks of queues."""

    service: ServiceName
    # Whether the workers refuse tasks that exceed their free resources;
    # workers of other services start every task that they are sent.
    guards_room: bool
    # Hosts of a standby service are switched off and cost nothing.
    is_standby: bool


@frozen
class Workspace:
    """Group of callers with its keys and its share of the workers."""

    workspace: WorkspaceName
    # Hexadecimal SHA-256 digests of the keys; the keys themselves occur only
    # in the document of the manifest.
    key_digests: tuple[str, ...] = ()
    # Share of the resources when all are in use, and the jobs a second that
    # the workspace is promised.
    weight: float = 1
    # Limits on the resources of its active runs on all workers; 0 for none.
    # CPU in thousandths of a core, memory in MB.
    max_cpu: int = 0
    max_memory: int = 0
    max_accelerators: int = 0


@frozen
class Manifest:
    """Queues and services of one version, with the document as received."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[WorkService, ...]
    document: bytes
    # None if the manifest defines no workspaces, so that calls need no keys.
    workspaces: tuple[Workspace, ...] | None = None


@frozen
class ManifestPut(Record):
    """Record of a manifest; it takes effect if its version is the highest."""

    kind: ClassVar[str] = 'manifest_put'

    manifest: Manifest


@frozen
class ManifestState:
    """Manifest in force, if any, and queues that later manifests dropped."""

    manifest: Manifest | None
    dropped: tuple[Queue, ...] = ()
