"""Node that executes the outputs of a voter: writes, syncs and applies."""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.events import log_event
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_core.units import MIB, to_milliseconds
from hornbeamstair_replicas.events import LogOpenedEvent, SnapshotWrittenEvent
from hornbeamstair_replicas.groups.batching import BatchThrottle
from hornbeamstair_replicas.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    VoterId,
)
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.base import LogStorage
from hornbeamstair_replicas.voting.outputs import (
    SendMessage,
    StoreEntries,
    StoreSnapshot,
    StoreVote,
    TruncateEntries,
    WriteEffect,
)
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_replicas.voting.voter import Voter, open_voter

__all__ = ('AppliedEntry', 'FlushOutcome', 'LogNode', 'open_node')

_SNAPSHOT_ENTRIES: Final = 10000
# Entries grow with the load; a restart applies this much in about one second
# on one core.
_SNAPSHOT_BYTES: Final = 8 * MIB
# Growth allowed while a lagging peer still needs the log.
_LAGGING_PEER_FACTOR: Final = 2


@frozen
class AppliedEntry:
    """Applied entry and the answer of the state machine."""

    index: int
    term: int
    answer: object


@frozen
class FlushOutcome:
    """Messages whose writes are synced, and the entries just applied."""

    messages: tuple[SendMessage, ...]
    applied: tuple[AppliedEntry, ...]


@define(eq=False)
class LogNode:
    """Voter with its log storage and state machine."""

    group: str
    voter: Voter
    storage: LogStorage
    state_machine: StateMachine
    snapshot_entries: int = _SNAPSHOT_ENTRIES
    snapshot_bytes: int = _SNAPSHOT_BYTES
    get_time: Callable[[], float] = get_monotonic_time
    throttle: BatchThrottle = field(factory=BatchThrottle, init=False)
    applied_index: int = field(default=0, init=False)
    # Size of the payloads applied since the last snapshot.
    applied_bytes: int = field(default=0, init=False)
    # Outputs of the voter that the storage has not taken yet.
    unwritten: 'deque[WriteEffect]' = field(factory=deque, init=False)
    is_unsynced: bool = field(default=False, init=False)

    def flush(self) -> FlushOutcome:
        """Write, sync and apply the pending outputs.

        Raises StorageError if a write or a sync fails.
        """
        messages: list[SendMessage] = []
        applied: list[AppliedEntry] = []
        while self.voter.has_outputs():
            outputs = self.voter.drain_outputs()
            self._store(outputs.writes)
            messages.extend(outputs.messages)
            applied.extend(self._apply_committed())
        applied.extend(self._apply_committed())
        self._compact()
        return FlushOutcome(tuple(messages), tuple(applied))

    def reopen(self, now: float) -> None:
        """Open a failed storage again, and write and sync what it lacks.

        Messages of the voter that wait for that are outdated and dropped. A
        leader gives up its term: what has served its decisions has ended.
        Raises StorageError if the storage still fails.
        """
        self.storage.reopen()
        self.is_unsynced = True
        self._store(self.voter.drain_outputs().writes)
        self.voter.resign(now)

    def is_up_to_date(self) -> bool:
        """Return whether all that a leader has committed is applied here.

        Entries of previous terms are known to be committed only once an entry
        of the current term is.
        """
        state = self.voter.state
        if not state.leader or self.applied_index < state.announced_index:
            return False
        return state.log.find_term(self.applied_index) == state.term

    def get_batch_delay(self) -> float:
        """Get the seconds until the next batch may be written."""
        return self.throttle.get_delay(self.get_time())

    def get_feed(
        self,
        applied_index: int,
    ) -> tuple[Snapshot | None, tuple[LogEntry, ...]]:
        """Get the next entries after an index, with a snapshot if needed."""
        log = self.voter.state.log
        first_index = max(applied_index, log.snapshot.index)
        count = self.applied_index - first_index
        entries = log.get_batch(first_index + 1, max(count, 0))
        if applied_index < log.snapshot.index:
            return log.snapshot, entries
        return None, entries

    def _store(self, writes: list[WriteEffect]) -> None:
        self.unwritten.extend(writes)
        self.is_unsynced = self.is_unsynced or bool(writes)
        while self.unwritten:
            self._write(self.unwritten[0])
            self.unwritten.popleft()
        if self.is_unsynced:
            started_at = self.get_time()
            self.storage.sync()
            self.throttle.add_sync(started_at, self.get_time())
            self.voter.set_synced()
            self.is_unsynced = False

    def _write(self, write: WriteEffect) -> None:
        match write:
            case StoreEntries(entries):
                self.storage.append(entries)
            case TruncateEntries(first_index):
                self.storage.truncate(first_index)
            case StoreVote(vote):
                self.storage.write_vote(vote)
            case StoreSnapshot(snapshot):
                self.storage.install_snapshot(snapshot)
                self.state_machine.restore(snapshot.state)
                self.applied_index = snapshot.index
                self.applied_bytes = 0

    def _apply_committed(self) -> Iterable[AppliedEntry]:
        for entry in self.voter.get_committed(self.applied_index):
            yield self._apply(entry)

    def _apply(self, entry: LogEntry) -> AppliedEntry:
        check_invariant(
            entry.index == self.applied_index + 1,
            'entries are applied in order',
            f'{self.group}: {entry.index} after {self.applied_index}',
        )
        self.applied_index = entry.index
        self.applied_bytes += len(entry.payload)
        answer: object = None
        if entry.kind == EntryKind.payload:
            answer = self.state_machine.apply(entry.index, entry.payload)
        return AppliedEntry(entry.index, entry.term, answer)

    def _compact(self) -> None:
        if not self._is_snapshot_due():
            return
        self.applied_bytes = 0
        started_at = self.get_time()
        state = self.state_machine.get_snapshot()
        snapshot = self.voter.compact(self.applied_index, state)
        self.storage.write_snapshot(snapshot)
        log_event(
            SnapshotWrittenEvent(
                self.group,
                snapshot.index,
                len(state),
                to_milliseconds(self.get_time() - started_at),
            ),
        )

    def _is_snapshot_due(self) -> bool:
        """Return whether a snapshot is due."""
        entries = self.applied_index - self.voter.state.log.snapshot.index
        factor = _LAGGING_PEER_FACTOR if self.voter.has_lagging_peer() else 1
        return (
            entries >= self.snapshot_entries * factor
            or self.applied_bytes >= self.snapshot_bytes * factor
        )


def open_node(
    group: str,
    voter: VoterId,
    storage: LogStorage,
    state_machine: StateMachine,
    initial_voters: tuple[VoterId, ...],
    timing: Timing,
    rng: Random,
    now: float,
) -> LogNode:
    """Open a node from its storage.

    Raises LogCorruptedError if the storage is damaged.
    """
    stored_log = storage.load()
    node = LogNode(
        group,
        open_voter(voter, stored_log, initial_voters, timing, rng, now),
        storage,
        state_machine,
    )
    if stored_log.snapshot is not None:
        state_machine.restore(stored_log.snapshot.state)
        node.applied_index = stored_log.snapshot.index
    log_event(
        LogOpenedEvent(group, node.applied_index, len(stored_log.entries))
    )
    return node
