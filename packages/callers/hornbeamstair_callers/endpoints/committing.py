"""Commits of the decisions of one leader."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from functools import partial
from typing import Final

from attrs import define, field

from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_callers.jobs.entries import EntryBuilder, EntryCollector
from hornbeamstair_core.step_failures import log_step_failure
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.tables.codec import RecordCodec

__all__ = ('EntryCommitter', 'is_in_term')

_RETRY_SECONDS: Final = 0.25
# Timeout of a commit. It is long because an entry in the log is committed at
# last, unless another process becomes the leader.
_COMMIT_SECONDS: Final = 60.0


@define(eq=False)
class EntryCommitter:
    """Committer of a term; batches that come together share a log entry."""

    group: VotingGroup
    codec: RecordCodec
    on_committed: Callable[[CommitBatch], None]
    entries: EntryCollector = field(factory=EntryCollector, init=False)
    tasks: 'set[Task[None]]' = field(factory=set, init=False)

    def add(self, batch: CommitBatch, term: int) -> None:
        """Commit a batch while the term lasts, then call `on_committed`."""
        entry = self.entries.add(batch)
        if entry is not None:
            task = create_task(self._commit(entry, term))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def cancel_commits(self) -> None:
        """Cancel the commits of a term that is over."""
        for task in self.tasks:
            task.cancel()
        self.entries.clear()

    async def _commit(self, entry: EntryBuilder, term: int) -> None:
        while is_in_term(self.group, term):
            if await self._propose(entry, term):
                self._handle_committed(entry)
                return
            # A failed leadership transfer refuses records although the term
            # continues.
            await sleep(_RETRY_SECONDS)

    async def _propose(self, entry: EntryBuilder, term: int) -> bool:
        """Propose an entry; return whether it is committed."""
        try:
            outcome = await self.group.propose_once(
                partial(self._write, entry),
                _COMMIT_SECONDS,
                term,
            )
        except Exception as error:
            log_step_failure('commits', error)
            return False
        return outcome.is_ok()

    def _handle_committed(self, entry: EntryBuilder) -> None:
        for batch in entry.batches:
            try:
                self.on_committed(batch)
            except Exception as error:
                log_step_failure('handling of committed records', error)

    def _write(self, entry: EntryBuilder) -> bytes:
        return self.codec.encode(entry.close())


def is_in_term(group: VotingGroup, term: int) -> bool:
    """Return whether this process leads a term, with or without its lease."""
    voter = group.node.voter
    is_leader = voter.state.term == term and voter.leader_role is not None
    return is_leader and group.recovery.failure is None
