"""Reception of a leader's log by another voter."""

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
    """Log of a follower as its leader sends it."""

    state: VoterState
    incoming: bytearray = field(factory=bytearray)
    incoming_index: int = 0

    def append(self, sender: VoterId, request: AppendRequest) -> None:
        """Append entries where they match and answer what is held."""
        state = self.state
        if not self._matches(request):
            hint = min(state.log.last_index, request.previous_index - 1)
            self.refuse(sender, request.sent_at, max(hint, state.commit_index))
            return
        self._put_entries(request.entries)
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
        """Answer that nothing was appended."""
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
        """Take a part of a snapshot; put it in force when it is whole."""
        state = self.state
        is_installed = self._covers(chunk) or self._take_chunk(chunk)
        state.send(
            sender,
            SnapshotAnswer(
                state.term,
                chunk.snapshot_index,
                len(self.incoming),
                is_installed,
                chunk.sent_at,
            ),
        )

    def _covers(self, chunk: SnapshotChunk) -> bool:
        state = self.state
        if chunk.snapshot_index <= state.commit_index:
            return True
        if state.log.find_term(chunk.snapshot_index) != chunk.snapshot_term:
            return False
        # The entries after it were acknowledged and must stay.
        state.commit(chunk.snapshot_index)
        return True

    def _matches(self, request: AppendRequest) -> bool:
        log = self.state.log
        if request.previous_index < log.snapshot.index:
            # A snapshot holds committed entries, which all logs share.
            return True
        return log.find_term(request.previous_index) == request.previous_term

    def _put_entries(self, entries: tuple[LogEntry, ...]) -> None:
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

    def _take_chunk(self, chunk: SnapshotChunk) -> bool:
        if chunk.offset == 0 or chunk.snapshot_index != self.incoming_index:
            self.incoming.clear()
            self.incoming_index = chunk.snapshot_index
        if chunk.offset != len(self.incoming):
            return False
        self.incoming.extend(chunk.chunk)
        if not chunk.is_last:
            return False
        self.state.install(
            Snapshot(
                chunk.snapshot_index,
                chunk.snapshot_term,
                bytes(self.incoming),
                chunk.voters,
            ),
        )
        self.incoming.clear()
        return True
