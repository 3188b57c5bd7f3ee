"""Group of a single voter, for one process on one machine."""

from asyncio import Future, get_running_loop
from typing import Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_replicas.events import (
    LogOpenedEvent,
    SnapshotWrittenEvent,
    StorageFailedEvent,
)
from hornbeamstair_replicas.failures import StorageFailure
from hornbeamstair_replicas.groups.base import ReplicaGroup
from hornbeamstair_replicas.messages import LogEntry, LogTail, Snapshot
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.base import LogStorage, StorageError

__all__ = ('SingleVoterGroup',)

_SINGLE_TERM: Final = 1
_SNAPSHOT_ENTRIES: Final = 10000

Answer = Result[object, Failure]


@define
class _Proposal:
    """Payload that waits for the next sync."""

    payload: bytes
    answer: 'Future[Answer]'


@define
class SingleVoterGroup(ReplicaGroup):
    """Log of one voter; proposals of one loop pass share a sync."""

    group: str
    storage: LogStorage
    state_machine: StateMachine
    snapshot_entries: int = _SNAPSHOT_ENTRIES
    applied_index: int = field(default=0, init=False)
    snapshot_index: int = field(default=0, init=False)
    proposals: list[_Proposal] = field(factory=list, init=False)
    failure: Failure | None = field(default=None, init=False)

    def start(self) -> None:
        """Read the stored log and bring the state machine up to date."""
        tail = self.storage.load()
        if tail.snapshot is not None:
            self.state_machine.restore(tail.snapshot.state)
            self.applied_index = tail.snapshot.index
            self.snapshot_index = tail.snapshot.index
        for entry in tail.entries:
            self._apply(entry)
        self._log_opened(tail)

    async def propose(self, payload: bytes) -> Answer:
        """Commit a payload and return the answer of the state machine."""
        if self.failure is not None:
            return Error(self.failure)
        loop = get_running_loop()
        answer: Future[Answer] = loop.create_future()
        if not self.proposals:
            loop.call_soon(self._commit)
        self.proposals.append(_Proposal(payload, answer))
        return await answer

    def get_applied_index(self) -> int:
        """Get the index of the last entry that was applied."""
        return self.applied_index

    async def stop(self) -> None:
        """Commit what is pending and release the storage."""
        self._commit()
        self.storage.close()

    def _commit(self) -> None:
        proposals = self.proposals
        self.proposals = []
        if not proposals:
            return
        entries = [
            LogEntry(index, _SINGLE_TERM, proposal.payload)
            for index, proposal in enumerate(proposals, self.applied_index + 1)
        ]
        try:
            self._store(entries)
        except StorageError as error:
            self._fail(proposals, str(error))
            return
        for entry, proposal in zip(entries, proposals, strict=True):
            _set_answer(proposal, Ok(self._apply(entry)))
        self._compact()

    def _store(self, entries: list[LogEntry]) -> None:
        self.storage.append(entries)
        self.storage.sync()

    def _apply(self, entry: LogEntry) -> object:
        check_invariant(
            entry.index == self.applied_index + 1,
            'entries are applied in order',
            f'{self.group}: {entry.index} after {self.applied_index}',
        )
        self.applied_index = entry.index
        return self.state_machine.apply(entry.index, entry.payload)

    def _compact(self) -> None:
        if self.applied_index - self.snapshot_index < self.snapshot_entries:
            return
        state = self.state_machine.get_snapshot()
        snapshot = Snapshot(self.applied_index, _SINGLE_TERM, state)
        try:
            self.storage.write_snapshot(snapshot)
        except StorageError as error:
            self._fail([], str(error))
            return
        self.snapshot_index = self.applied_index
        log_event(
            SnapshotWrittenEvent(self.group, snapshot.index, len(state)),
        )

    def _fail(self, proposals: list[_Proposal], reason: str) -> None:
        log_event(StorageFailedEvent(self.group, reason))
        self.failure = StorageFailure(reason)
        for proposal in proposals:
            _set_answer(proposal, Error(self.failure))

    def _log_opened(self, tail: LogTail) -> None:
        log_event(
            LogOpenedEvent(
                self.group,
                self.snapshot_index,
                len(tail.entries),
            ),
        )


def _set_answer(proposal: _Proposal, answer: Answer) -> None:
    if not proposal.answer.done():
        proposal.answer.set_result(answer)
