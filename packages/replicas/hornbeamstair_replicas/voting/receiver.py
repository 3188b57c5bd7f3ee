"""Handling of log entries and snapshots that a leader sends."""

from attrs import define, field

from hornbeamstair_replicas.messages import LogEntry, Snapshot, VoterId
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
)
from hornbeamstair_replicas.voting.state import VoterState

__all__ = ('LogReceiver',)


@define(eq=False)
class LogReceiver:
    """Applies entries and snapshots from the leader to the local log."""

    state: VoterState
    snapshot_buffer: bytearray = field(factory=bytearray)
    buffered_index: int = 0

    def append(self, sender: VoterId, request: AppendRequest) -> None:
        """Append the entries if the previous one matches, and answer."""
        state = self.state
        state.update_announced_index(request.commit_index)
        if not self._matches(request):
            hint = min(state.log.last_index, request.previous_index - 1)
            self.refuse(sender, request.sent_at, max(hint, state.commit_index))
            return
        self._store_entries(request.entries)
        match_index = request.previous_index + len(request.entries)
        commit_index = min(request.commit_index, match_index)
        if commit_index > state.commit_index:
            state.commit(commit_index)
        state.send(
            sender,
            AppendAnswer(
                state.term,
                is_success=True,
                match_index=match_index,
                sent_at=request.sent_at,
            ),
        )

    def refuse(self, sender: VoterId, sent_at: float, hint: int = 0) -> None:
        """Answer that no entry was appended; suggest a retry index."""
        self.state.send(
            sender,
            AppendAnswer(
                self.state.term,
                is_success=False,
                match_index=hint,
                sent_at=sent_at,
            ),
        )

    def install(self, sender: VoterId, chunk: SnapshotChunk) -> None:
        """Add a chunk; install the snapshot when it is complete."""
        state = self.state
        state.update_announced_index(chunk.snapshot_index)
        is_installed = self._is_covered(chunk) or self._add_chunk(chunk)
        state.send(
            sender,
            SnapshotAnswer(
                state.term,
                chunk.snapshot_index,
                len(self.snapshot_buffer),
                is_installed,
                chunk.sent_at,
            ),
        )

    def _is_covered(self, chunk: SnapshotChunk) -> bool:
        state = self.state
        if chunk.snapshot_index <= state.commit_index:
            return True
        if state.log.find_term(chunk.snapshot_index) != chunk.snapshot_term:
            return False
        # The entries after the snapshot were acknowledged: keep them.
        state.commit(chunk.snapshot_index)
        return True

    def _matches(self, request: AppendRequest) -> bool:
        log = self.state.log
        if request.previous_index < log.snapshot.index:
            # A snapshot covers only committed entries, equal in all logs.
            return True
        return log.find_term(request.previous_index) == request.previous_term

    def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:
        state = self.state
        for position, entry in enumerate(entries):
            if entry.index <= state.log.snapshot.index:
                continue
            known_term = state.log.find_term(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                state.truncate(entry.index)
            state.append(entries[position:])
            return

    def _add_chunk(self, chunk: SnapshotChunk) -> bool:
        if chunk.offset == 0 or chunk.snapshot_index != self.buffered_index:
            self.snapshot_buffer.clear()
            self.buffered_index = chunk.snapshot_index
        if chunk.offset != len(self.snapshot_buffer):
            return False
        self.snapshot_buffer.extend(chunk.chunk)
        if not chunk.is_last:
            return False
        self.state.install(
            Snapshot(
                chunk.snapshot_index,
                chunk.snapshot_term,
                bytes(self.snapshot_buffer),
                chunk.voters,
            ),
        )
        self.snapshot_buffer.clear()
        return True
