"""Replication of the log of a leader to its peers."""

from typing import Final

from attrs import define, field

from hornbeamstair_replicas.limits import MAX_BATCH_BYTES
from hornbeamstair_replicas.messages import Snapshot, VoterId
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
)
from hornbeamstair_replicas.voting.progress import PeerProgress
from hornbeamstair_replicas.voting.state import VoterState

__all__ = ('Replicator',)

_MAX_ENTRIES: Final = 256
# Limit of unacknowledged entries for a peer that is behind. A busy event loop
# answers late, and one message per round trip is slower than the load.
_MAX_IN_FLIGHT_ENTRIES: Final = 8 * _MAX_ENTRIES
# Limit of unacknowledged bytes of entries or of a snapshot, because a busy
# peer answers late.
_MAX_IN_FLIGHT_BYTES: Final = 4 * MAX_BATCH_BYTES
_RESEND_HEARTBEATS: Final = 3
# Chunks are large, and resending them delays later messages.
_CHUNK_RESEND_HEARTBEATS: Final = 10
# The peer receives this much in a fraction of a second.
_CAUGHT_UP_ENTRIES: Final = 4 * _MAX_ENTRIES
_CAUGHT_UP_BYTES: Final = 4 * MAX_BATCH_BYTES


@define(eq=False)
class Replicator:
    """Tracks the progress of each peer and sends entries and snapshots."""

    state: VoterState
    peers: dict[VoterId, PeerProgress] = field(factory=dict)
    # Non-voting peers; entries are sent to them with the heartbeats.
    learners: tuple[VoterId, ...] = ()
    # Time of the last heartbeats, in seconds.
    heartbeat_at: float = 0

    def set_peers(self, voters: list[VoterId], now: float) -> None:
        """Replicate to exactly these peers and the learners."""
        next_index = self.state.log.last_index + 1
        self.learners = tuple(
            learner for learner in self.learners if learner not in voters
        )
        self.peers = {
            peer: self.peers.get(peer)
            or PeerProgress(next_index, started_at=now, acknowledged_at=now)
            for peer in (*voters, *self.learners)
        }

    def get_match_index(self, voter: VoterId) -> int:
        """Return the last index that a voter is known to have synced."""
        if voter == self.state.voter:
            return self.state.synced_index
        progress = self.peers.get(voter)
        return 0 if progress is None else progress.match_index

    def get_replication_seconds(self, peer: VoterId, now: float) -> float:
        """Return the seconds since replication to a peer started."""
        progress = self.peers.get(peer)
        return 0 if progress is None else now - progress.started_at

    def is_caught_up(self, peer: VoterId, now: float) -> bool:
        """Return whether a peer answers and is close to the commit index."""
        progress = self.peers.get(peer)
        if progress is None or not progress.match_index:
            return False
        state = self.state
        missing_entries = state.commit_index - progress.match_index
        missing_bytes = state.log.get_bytes(
            progress.match_index + 1,
            state.commit_index,
        )
        return (
            self._is_responsive(peer, now)
            and missing_entries <= _CAUGHT_UP_ENTRIES
            and missing_bytes <= _CAUGHT_UP_BYTES
        )

    def should_send_more(self, peer: VoterId) -> bool:
        """Return whether to send more to a peer before the next heartbeat."""
        progress = self.peers[peer]
        if progress.is_installing_snapshot:
            return False
        if peer in self.learners and not progress.is_probing:
            return self._fills_message(progress)
        return progress.next_index <= self.state.log.last_index

    def has_lagging_peer(self) -> bool:
        """Return whether a responsive peer is still catching up.

        If the entries after its snapshot were compacted, the peer would need
        another snapshot.
        """
        now = self.heartbeat_at
        return any(
            self._is_responsive(peer, now) and not self.is_caught_up(peer, now)
            for peer in self.peers
        )

    def has_quorum(self, now: float, seconds: float) -> bool:
        """Return whether a quorum answered messages sent within the period."""
        responsive = {
            peer
            for peer, progress in self.peers.items()
            if now - progress.acknowledged_at < seconds
        }
        return self.state.is_quorum({*responsive, self.state.voter})

    def update_append_progress(
        self,
        progress: PeerProgress,
        answer: AppendAnswer,
    ) -> bool:
        """Update the progress of a peer; return whether to send more."""
        progress.acknowledge(answer.sent_at)
        is_current = progress.is_current(answer.sent_at)
        if answer.is_success:
            progress.update_match_index(answer.match_index)
            progress.is_probing = progress.is_probing and not is_current
        elif is_current:
            progress.decrease_next_index(answer.match_index)
            progress.is_probing = True
        return is_current

    def update_snapshot_progress(
        self,
        progress: PeerProgress,
        answer: SnapshotAnswer,
    ) -> bool:
        """Update the snapshot progress; return whether to send more."""
        if progress.snapshot_index != answer.snapshot_index:
            return False
        progress.acknowledge(answer.sent_at)
        if answer.is_installed:
            progress.snapshot_index = 0
            progress.update_match_index(answer.snapshot_index)
            return True
        return progress.update_offset(answer.next_offset)

    def broadcast(self, now: float) -> None:
        """Send entries or a heartbeat to every peer that is due."""
        self.heartbeat_at = now
        for peer, progress in self.peers.items():
            is_probing = self._update_probing(peer, now)
            is_throttled = progress.is_installing_snapshot or is_probing
            if not (is_throttled and self._awaits_answer(progress, now)):
                progress.sent_offset = progress.received_offset
                self.send(peer, now)

    def send_entries(self, now: float) -> None:
        """Send new entries to voters not being probed or sent a snapshot."""
        for peer, progress in self.peers.items():
            is_throttled = (
                progress.is_installing_snapshot
                or self._update_probing(peer, now)
            )
            if not (is_throttled or peer in self.learners):
                self.send(peer, now)

    def send(self, peer: VoterId, now: float) -> None:
        """Send a peer its next entries or snapshot chunks."""
        self._send(peer, now)
        progress = self.peers[peer]
        while self._can_send_more(progress):
            self._send(peer, now)

    def _is_responsive(self, peer: VoterId, now: float) -> bool:
        contact_age = now - self.peers[peer].acknowledged_at
        return contact_age < self.state.timing.election_max

    def _can_send_more(self, progress: PeerProgress) -> bool:
        if progress.is_installing_snapshot or progress.is_probing:
            return False
        return self._fills_message(progress) and self._has_window(progress)

    def _has_window(self, progress: PeerProgress) -> bool:
        """Return whether more entries may be in flight to a peer."""
        last_sent = progress.next_index - 1
        in_flight_bytes = self.state.log.get_bytes(
            progress.window_index + 1,
            last_sent,
        )
        return (
            last_sent - progress.window_index < _MAX_IN_FLIGHT_ENTRIES
            and in_flight_bytes < _MAX_IN_FLIGHT_BYTES
        )

    def _fills_message(self, progress: PeerProgress) -> bool:
        """Return whether the entries still to be sent fill a message."""
        log = self.state.log
        missing_entries = log.last_index + 1 - progress.next_index
        if missing_entries >= _MAX_ENTRIES:
            return True
        missing_bytes = log.get_bytes(progress.next_index, log.last_index)
        return missing_bytes >= MAX_BATCH_BYTES

    def _send(self, peer: VoterId, now: float) -> None:
        progress = self.peers[peer]
        progress.sent_at = now
        previous_index = progress.next_index - 1
        previous_term = self.state.log.find_term(previous_index)
        if previous_term is None or progress.is_installing_snapshot:
            self._send_snapshot(peer, progress)
            return
        may_send = self._has_window(progress) and not progress.is_probing
        count = _MAX_ENTRIES if may_send else 0
        entries = self.state.log.get_batch(progress.next_index, count)
        # Pipelining: assume that the entries will be accepted.
        progress.next_index += len(entries)
        self.state.send(
            peer,
            AppendRequest(
                self.state.term,
                previous_index,
                previous_term,
                entries,
                self.state.commit_index,
                now,
            ),
        )

    def _update_probing(self, peer: VoterId, now: float) -> bool:
        """Probe a peer without entries after a long time without answers."""
        progress = self.peers[peer]
        contact_age = now - progress.acknowledged_at
        limit = self.state.timing.lease
        if peer in self.learners:
            # Learners answer only heartbeats; a busy loop reads answers late.
            limit = self.state.timing.election_max
        if contact_age > limit:
            progress.is_probing = True
        return progress.is_probing

    def _awaits_answer(self, progress: PeerProgress, now: float) -> bool:
        heartbeats = _RESEND_HEARTBEATS
        if progress.is_installing_snapshot:
            heartbeats = _CHUNK_RESEND_HEARTBEATS
        timeout = self.state.timing.heartbeat * heartbeats
        return now - progress.sent_at < timeout

    def _send_snapshot(self, peer: VoterId, progress: PeerProgress) -> None:
        snapshot = self.state.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.begin_snapshot(snapshot.index)
        progress.sent_offset = max(
            progress.sent_offset,
            progress.received_offset,
        )
        end = min(
            progress.received_offset + _MAX_IN_FLIGHT_BYTES,
            # An empty snapshot is sent as one chunk without bytes.
            max(len(snapshot.state), 1),
        )
        while progress.sent_offset < end:
            self._send_chunk(peer, progress, snapshot)
            progress.sent_offset += MAX_BATCH_BYTES

    def _send_chunk(
        self,
        peer: VoterId,
        progress: PeerProgress,
        snapshot: Snapshot,
    ) -> None:
        offset = progress.sent_offset
        chunk = snapshot.state[offset : offset + MAX_BATCH_BYTES]
        self.state.send(
            peer,
            SnapshotChunk(
                term=self.state.term,
                snapshot_index=snapshot.index,
                snapshot_term=snapshot.term,
                voters=snapshot.voters,
                offset=offset,
                chunk=chunk,
                is_last=offset + len(chunk) >= len(snapshot.state),
                sent_at=progress.sent_at,
            ),
        )
