"""Replication progress of a peer, as the leader knows it."""

from attrs import Factory, define, field

__all__ = ('PeerProgress',)


@define
class PeerProgress:
    """Replication progress and last contact of one peer; times in seconds."""

    next_index: int
    match_index: int = 0
    # The entries after this index that were sent are in flight.
    window_index: int = field(
        default=Factory(
            lambda progress: progress.next_index - 1, takes_self=True
        ),
    )
    started_at: float = 0
    acknowledged_at: float = 0
    sent_at: float = 0
    # The peer is sent no entries until it answers the last message.
    is_probing: bool = False
    snapshot_index: int = 0
    # Bytes of the snapshot that the peer has received, and that were sent.
    received_offset: int = 0
    sent_offset: int = 0

    @property
    def is_installing_snapshot(self) -> bool:
        """Return whether a snapshot is being sent to the peer."""
        return self.snapshot_index > 0

    def acknowledge(self, sent_at: float) -> None:
        """Update the last contact: a message sent at this time arrived."""
        self.acknowledged_at = max(self.acknowledged_at, sent_at)

    def is_current(self, sent_at: float) -> bool:
        """Return whether an answer to a message sent at this time is current.

        While the peer is probed, answers to messages from before the probe
        describe an outdated state of its log.
        """
        return not self.is_probing or sent_at >= self.sent_at

    def begin_snapshot(self, index: int) -> None:
        """Start sending a snapshot from its first byte."""
        self.snapshot_index = index
        self.received_offset = 0
        self.sent_offset = 0

    def update_offset(self, offset: int) -> bool:
        """Update the bytes received; return whether the offset changed."""
        is_changed = offset != self.received_offset
        # A peer that restarted has lost the bytes that it had received.
        if offset < self.received_offset:
            self.sent_offset = offset
        self.received_offset = offset
        return is_changed

    def update_match_index(self, index: int) -> None:
        """Update the last index at which the log of the peer matches."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.window_index = max(self.window_index, self.match_index)

    def decrease_next_index(self, hint: int) -> None:
        """Retry from an earlier index after a log mismatch."""
        earlier = min(hint + 1, self.next_index - 1)
        self.next_index = max(self.match_index + 1, earlier)
        self.window_index = self.next_index - 1
