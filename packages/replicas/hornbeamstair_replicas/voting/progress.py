"""What a leader knows of another voter's log."""

from attrs import define

__all__ = ('PeerProgress',)


@define
class PeerProgress:
    """Progress of one peer and the proof that it was reached."""

    next_index: int
    match_index: int = 0
    began_at: float = 0
    acknowledged_at: float = 0
    sent_at: float = 0
    # Until it answers the last message it is sent no entries.
    is_probed: bool = False
    snapshot_index: int = 0
    # Part of the snapshot that the peer holds, and what was sent of it.
    snapshot_offset: int = 0
    sent_offset: int = 0

    @property
    def installs_snapshot(self) -> bool:
        """Tell whether the peer receives a snapshot."""
        return self.snapshot_index > 0

    def acknowledge(self, sent_at: float) -> None:
        """Note that a message sent at a time was received."""
        self.acknowledged_at = max(self.acknowledged_at, sent_at)

    def takes(self, sent_at: float) -> bool:
        """Tell whether an answer to a message sent at a time still counts.

        While the peer is probed, answers to what was sent before tell where
        its log stood and not where it stands.
        """
        return not self.is_probed or sent_at >= self.sent_at

    def begin_snapshot(self, index: int) -> None:
        """Send a snapshot from its start."""
        self.snapshot_index = index
        self.snapshot_offset = 0
        self.sent_offset = 0

    def take_offset(self, offset: int) -> bool:
        """Note the part of a snapshot held; tell whether it grew or fell."""
        is_new = offset != self.snapshot_offset
        # A peer that started again holds less than it did.
        if offset < self.snapshot_offset:
            self.sent_offset = offset
        self.snapshot_offset = offset
        return is_new

    def match(self, index: int) -> None:
        """Note that the peer holds the log up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def retreat(self, hint: int) -> None:
        """Try again from an earlier index that the peer may hold."""
        earlier = min(hint + 1, self.next_index - 1)
        self.next_index = max(self.match_index + 1, earlier)
