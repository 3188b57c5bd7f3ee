"""Replicated manifest: the highest version takes effect."""

from typing import Any, ClassVar

from attrs import define, field

from hornbeamstair_core.ids import QueueName, ServiceName
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    ManifestPut,
    ManifestState,
    Queue,
    WorkService,
)

__all__ = ('ManifestTable',)


@define(eq=False)
class ManifestTable(RecordTable):
    """Newest manifest and the queues by name and by place."""

    name: ClassVar[str] = 'manifest'
    records: ClassVar[tuple[type[Record], ...]] = (ManifestPut,)
    state_class: ClassVar[type[Any]] = ManifestState

    manifest: Manifest | None = None
    queues: dict[QueueName, Queue] = field(factory=dict)
    services: dict[ServiceName, WorkService] = field(factory=dict)
    # Queues that jobs may still be in, though no new ones are accepted.
    dropped: dict[QueueName, Queue] = field(factory=dict)
    by_host: dict[str, list[Queue]] = field(factory=dict)

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return 0 if self.manifest is None else self.manifest.version

    def apply(self, record: Record) -> object:
        """Put a manifest in force if its version is higher."""
        if isinstance(record, ManifestPut):
            if record.manifest.version > self.version:
                self._put(record.manifest)
        return self.version

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue with the longest prefix of a path."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def find_known(self, name: QueueName) -> Queue | None:
        """Find a queue by name, also one that was dropped."""
        return self.queues.get(name) or self.dropped.get(name)

    def get_state(self) -> ManifestState:
        """Get the manifest in force."""
        return ManifestState(self.manifest, tuple(self.dropped.values()))

    def put_state(self, state: Any) -> None:
        """Replace the manifest."""
        self.manifest = None
        self.queues = {}
        self.services = {}
        self.by_host = {}
        self.dropped = {}
        if state is None:
            return
        self.dropped = {queue.queue: queue for queue in state.dropped}
        if state.manifest is not None:
            self._put(state.manifest)

    def _put(self, manifest: Manifest) -> None:
        check_invariant(
            manifest.version > self.version,
            'the version in force never falls',
            f'{manifest.version} after {self.version}',
        )
        self.manifest = manifest
        self.dropped.update(self.queues)
        self.queues = {queue.queue: queue for queue in manifest.queues}
        for name in self.queues:
            self.dropped.pop(name, None)
        self.services = {found.service: found for found in manifest.services}
        self.by_host = {}
        by_length = sorted(
            manifest.queues,
            key=lambda found: -len(found.path_prefix),
        )
        for queue in by_length:
            self.by_host.setdefault(queue.host, []).append(queue)
