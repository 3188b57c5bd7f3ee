"""Commits of what one holder decides."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from functools import partial
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_callers.jobs.entries import GrowingEntry, RecordEntries
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.tables.codec import RecordCodec

__all__ = ('EntryCommitter', 'is_in_term')

_RETRY_SECONDS: Final = 0.25
# An entry has its place in the log: it is committed, or another process leads.
_COMMIT_SECONDS: Final = 60.0


@define(eq=False)
class EntryCommitter:
    """Commits of the batches of a term, events that come together in one."""

    group: VotingGroup
    codec: RecordCodec
    note: Callable[[CommitBatch], None]
    entries: RecordEntries = field(factory=RecordEntries, init=False)
    tasks: 'set[Task[None]]' = field(factory=set, init=False)

    def add(self, batch: CommitBatch, term: int) -> None:
        """Commit a batch while a term goes on, then tell of it."""
        entry = self.entries.add(batch)
        if entry is not None:
            task = create_task(self._commit(entry, term))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def drop(self) -> None:
        """Commit nothing more of a term that is over."""
        for task in self.tasks:
            task.cancel()
        self.entries.clear()

    async def _commit(self, entry: GrowingEntry, term: int) -> None:
        write = partial(self._write, entry)
        while is_in_term(self.group, term):
            outcome = await self.group.propose_once(
                write,
                _COMMIT_SECONDS,
                term,
            )
            if outcome.is_ok():
                for batch in entry.batches:
                    self.note(batch)
                return
            # A handover that fails refuses records of a term that goes on.
            await sleep(_RETRY_SECONDS)

    def _write(self, entry: GrowingEntry) -> bytes:
        return self.codec.write(entry.close())


def is_in_term(group: VotingGroup, term: int) -> bool:
    """Tell whether this process leads a term, be its lease in force or not."""
    voter = group.node.voter
    is_leader = voter.state.term == term and voter.leading is not None
    return is_leader and group.failure is None
