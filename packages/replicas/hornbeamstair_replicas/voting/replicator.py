"""Replication of a leader's log to the other voters."""

from typing import Final

from attrs import define, field

from hornbeamstair_core.units import KIB
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
# Entries on their way to a peer that is behind: answers of a busy loop take
# long, and a message each is less than the load.
_WINDOW_ENTRIES: Final = 8 * _MAX_ENTRIES
_CHUNK_BYTES: Final = 256 * KIB  # noqa: WPS432
# Parts of a snapshot on their way at once: answers of a busy peer take long.
_WINDOW_BYTES: Final = 4 * _CHUNK_BYTES
_RESEND_HEARTBEATS: Final = 3
# Parts are large, and what is sent again delays the rest.
_RESEND_PART_HEARTBEATS: Final = 10
# Some messages bring the rest, in a fraction of a second.
_CAUGHT_UP_ENTRIES: Final = 4 * _MAX_ENTRIES


@define(eq=False)
class Replicator:
    """Progress of each peer, and what is sent to it next."""

    state: VoterState
    peers: dict[VoterId, PeerProgress] = field(factory=dict)
    # Peers that do not vote and are fed with the heartbeats.
    learners: tuple[VoterId, ...] = ()
    # Time of the last heartbeats.
    beat_at: float = 0

    def put_peers(self, wanted: list[VoterId], now: float) -> None:
        """Replicate to these peers and the learners, and to no others."""
        next_index = self.state.log.last_index + 1
        self.learners = tuple(
            learner for learner in self.learners if learner not in wanted
        )
        self.peers = {
            peer: self.peers.get(peer)
            or PeerProgress(next_index, began_at=now, acknowledged_at=now)
            for peer in (*wanted, *self.learners)
        }

    def get_match(self, voter: VoterId) -> int:
        """Get the last index that a voter is known to have synced."""
        if voter == self.state.voter:
            return self.state.synced_index
        progress = self.peers.get(voter)
        return 0 if progress is None else progress.match_index

    def get_fed_seconds(self, peer: VoterId, now: float) -> float:
        """Get the seconds since a peer was first sent something."""
        progress = self.peers.get(peer)
        return 0 if progress is None else now - progress.began_at

    def is_caught_up(self, peer: VoterId, now: float) -> bool:
        """Tell whether a peer answers and lacks little of what is committed."""
        progress = self.peers.get(peer)
        if progress is None or not progress.match_index:
            return False
        missing = self.state.commit_index - progress.match_index
        return self._answers(peer, now) and missing <= _CAUGHT_UP_ENTRIES

    def has_more(self, peer: VoterId) -> bool:
        """Tell whether a peer is sent more before the next heartbeat."""
        progress = self.peers[peer]
        if progress.installs_snapshot:
            return False
        missing = self.state.log.last_index + 1 - progress.next_index
        if peer in self.learners and not progress.is_probed:
            return missing >= _MAX_ENTRIES
        return missing > 0

    def needs_log(self) -> bool:
        """Tell whether a peer that answers is still being brought up to date.

        Without the entries after its snapshot it would begin anew.
        """
        now = self.beat_at
        return any(
            self._answers(peer, now) and not self.is_caught_up(peer, now)
            for peer in self.peers
        )

    def has_quorum(self, now: float, seconds: float) -> bool:
        """Tell whether a quorum answered what was sent so recently."""
        reached = {
            peer
            for peer, progress in self.peers.items()
            if now - progress.acknowledged_at < seconds
        }
        return self.state.is_quorum({*reached, self.state.voter})

    def take_append_answer(
        self,
        progress: PeerProgress,
        answer: AppendAnswer,
    ) -> bool:
        """Note what a peer holds; tell whether to send more."""
        progress.acknowledge(answer.sent_at)
        takes = progress.takes(answer.sent_at)
        if answer.is_success:
            progress.match(answer.match_index)
            progress.is_probed = progress.is_probed and not takes
        elif takes:
            progress.retreat(answer.match_index)
            progress.is_probed = True
        return takes

    def take_snapshot_answer(
        self,
        progress: PeerProgress,
        answer: SnapshotAnswer,
    ) -> bool:
        """Note the part of a snapshot held; tell whether to send more."""
        if progress.snapshot_index != answer.snapshot_index:
            return False
        progress.acknowledge(answer.sent_at)
        if answer.is_installed:
            progress.snapshot_index = 0
            progress.match(answer.snapshot_index)
            return True
        return progress.take_offset(answer.next_offset)

    def broadcast(self, now: float) -> None:
        """Send entries, or a heartbeat, to every peer."""
        self.beat_at = now
        for peer, progress in self.peers.items():
            is_probed = self._probes(peer, now)
            is_slow = progress.installs_snapshot or is_probed
            if not (is_slow and self._waits(progress, now)):
                progress.sent_offset = progress.snapshot_offset
                self.send(peer, now)

    def send_entries(self, now: float) -> None:
        """Send what is new to the peers that follow entry by entry."""
        for peer, progress in self.peers.items():
            is_slow = progress.installs_snapshot or self._probes(peer, now)
            if not (is_slow or peer in self.learners):
                self.send(peer, now)

    def send(self, peer: VoterId, now: float) -> None:
        """Send a peer the next entries, or its next parts of a snapshot."""
        self._send(peer, now)
        progress = self.peers[peer]
        while self._has_room(progress):
            self._send(peer, now)

    def _answers(self, peer: VoterId, now: float) -> bool:
        silence = now - self.peers[peer].acknowledged_at
        return silence < self.state.timing.election_max

    def _has_room(self, progress: PeerProgress) -> bool:
        if progress.installs_snapshot or progress.is_probed:
            return False
        missing = self.state.log.last_index + 1 - progress.next_index
        on_way = progress.next_index - 1 - progress.match_index
        return missing >= _MAX_ENTRIES and on_way < _WINDOW_ENTRIES

    def _send(self, peer: VoterId, now: float) -> None:
        progress = self.peers[peer]
        progress.sent_at = now
        previous_index = progress.next_index - 1
        previous_term = self.state.log.find_term(previous_index)
        if previous_term is None or progress.installs_snapshot:
            self._send_snapshot(peer, progress)
            return
        count = 0 if progress.is_probed else _MAX_ENTRIES
        entries = self.state.log.get_slice(progress.next_index, count)
        # Assume success: the next message carries on where this one ends.
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

    def _probes(self, peer: VoterId, now: float) -> bool:
        """Send no entries to a peer that has not answered for long."""
        progress = self.peers[peer]
        silence = now - progress.acknowledged_at
        limit = self.state.timing.lease
        if peer in self.learners:
            # It answers heartbeats only, and a late loop reads answers late.
            limit = self.state.timing.election_max
        if silence > limit:
            progress.is_probed = True
        return progress.is_probed

    def _waits(self, progress: PeerProgress, now: float) -> bool:
        heartbeats = _RESEND_HEARTBEATS
        if progress.installs_snapshot:
            heartbeats = _RESEND_PART_HEARTBEATS
        timeout = self.state.timing.heartbeat * heartbeats
        return now - progress.sent_at < timeout

    def _send_snapshot(self, peer: VoterId, progress: PeerProgress) -> None:
        snapshot = self.state.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.begin_snapshot(snapshot.index)
        progress.sent_offset = max(
            progress.sent_offset,
            progress.snapshot_offset,
        )
        end = min(
            progress.snapshot_offset + _WINDOW_BYTES,
            # An empty snapshot is a part of no bytes.
            max(len(snapshot.state), 1),
        )
        while progress.sent_offset < end:
            self._send_part(peer, progress, snapshot)
            progress.sent_offset += _CHUNK_BYTES

    def _send_part(
        self,
        peer: VoterId,
        progress: PeerProgress,
        snapshot: Snapshot,
    ) -> None:
        offset = progress.sent_offset
        part = snapshot.state[offset : offset + _CHUNK_BYTES]
        self.state.send(
            peer,
            SnapshotChunk(
                term=self.state.term,
                snapshot_index=snapshot.index,
                snapshot_term=snapshot.term,
                voters=snapshot.voters,
                offset=offset,
                chunk=part,
                is_last=offset + len(part) >= len(snapshot.state),
                sent_at=progress.sent_at,
            ),
        )
