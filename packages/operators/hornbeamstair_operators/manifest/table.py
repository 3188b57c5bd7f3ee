"""Replicated table of the manifest, whose highest version is in force."""

from typing import Any, ClassVar

from attrs import define, field

from hornbeamstair_core.ids import QueueName, ServiceName, WorkspaceName
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    ManifestPut,
    ManifestState,
    Queue,
    WorkService,
    Workspace,
)

__all__ = ('ManifestTable',)


@define(eq=False)
class ManifestTable(RecordTable):
    """Manifest in force, with its queues by name and by host."""

    name: ClassVar[str] = 'manifest'
    records: ClassVar[tuple[type[Record], ...]] = (ManifestPut,)
    state_class: ClassVar[type[Any]] = ManifestState

    manifest: Manifest | None = None
    queues: dict[QueueName, Queue] = field(factory=dict)
    services: dict[ServiceName, WorkService] = field(factory=dict)
    # Queues of previous manifests: they accept no new jobs, but may still
    # hold some.
    dropped: dict[QueueName, Queue] = field(factory=dict)
    queues_by_host: dict[str, list[Queue]] = field(factory=dict)
    workspaces: dict[WorkspaceName, Workspace] = field(factory=dict)
    workspaces_by_key: dict[str, Workspace] = field(factory=dict)

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return 0 if self.manifest is None else self.manifest.version

    def apply(self, record: Record) -> object:
        """Put a manifest in force if its version is the highest so far."""
        if isinstance(record, ManifestPut):
            if record.manifest.version > self.version:
                self._put_in_force(record.manifest)
        return self.version

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue of a host with the longest matching path prefix."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    @property
    def needs_keys(self) -> bool:
        """Whether calls to queues that are not open need a key."""
        manifest = self.manifest
        return manifest is not None and manifest.workspaces is not None

    def find_workspace(self, key_digest: str) -> Workspace | None:
        """Find the workspace that holds a key in the manifest in force."""
        return self.workspaces_by_key.get(key_digest)

    def find_queue_by_name(self, name: QueueName) -> Queue | None:
        """Find a queue by name, in force or dropped."""
        return self.queues.get(name) or self.dropped.get(name)

    def get_state(self) -> ManifestState:
        """Get the manifest in force and the dropped queues."""
        return ManifestState(self.manifest, tuple(self.dropped.values()))

    def restore_state(self, state: Any) -> None:
        """Replace the manifest and the queues by those of a snapshot."""
        self.manifest = None
        self.queues = {}
        self.services = {}
        self.queues_by_host = {}
        self.workspaces = {}
        self.workspaces_by_key = {}
        self.dropped = {}
        if state is None:
            return
        self.dropped = {queue.queue: queue for queue in state.dropped}
        if state.manifest is not None:
            self._put_in_force(state.manifest)

    def _put_in_force(self, manifest: Manifest) -> None:
        check_invariant(
            manifest.version > self.version,
            'the version in force never decreases',
            f'{manifest.version} after {self.version}',
        )
        self.manifest = manifest
        self.dropped.update(self.queues)
        self.queues = {queue.queue: queue for queue in manifest.queues}
        for name in self.queues:
            self.dropped.pop(name, None)
        self.services = {found.service: found for found in manifest.services}
        self.queues_by_host = {}
        by_prefix_length = sorted(
            manifest.queues,
            key=lambda found: -len(found.path_prefix),
        )
        for queue in by_prefix_length:
            self.queues_by_host.setdefault(queue.host, []).append(queue)
        self.workspaces = {
            found.workspace: found for found in manifest.workspaces or ()
        }
        self.workspaces_by_key = {
            digest: found
            for found in manifest.workspaces or ()
            for digest in found.key_digests
        }
