"""Progress in recording the ends that one incarnation of a worker lists."""

from attrs import define, field

__all__ = ('EndCursor',)


@define(eq=False)
class EndCursor:
    """Numbers of ends that were listed, submitted for recording, recorded.

    Ends are submitted in batches, each identified by its highest number.
    Batches may be recorded out of order.
    """

    # Highest number of an end that a poll listed.
    listed: int = 0
    # Highest number of an end that was submitted for recording.
    submitted: int = 0
    # All ends up to this number are recorded; the worker may drop them.
    cursor: int = 0
    # Ends up to this number were acknowledged by a poll with an answer.
    acknowledged: int = 0
    unrecorded: set[int] = field(factory=set)
    recorded: set[int] = field(factory=set)

    def is_recorded(self) -> bool:
        """Return whether all listed ends are recorded."""
        return self.listed <= self.cursor

    def get_unacknowledged(self) -> int:
        """Return the cursor if the worker may not have it yet, otherwise 0.

        A poll that reaches the next incarnation late would have it drop ends.
        """
        return self.cursor if self.cursor > self.acknowledged else 0

    def handle_acknowledged(self, cursor: int) -> None:
        """Mark the ends up to a cursor as acknowledged."""
        self.acknowledged = max(self.acknowledged, cursor)

    def submit_batch(self) -> int:
        """Submit the new ends; return their highest number, 0 if none."""
        if self.listed <= self.submitted:
            return 0
        self.submitted = self.listed
        self.unrecorded.add(self.submitted)
        return self.submitted

    def handle_recorded(self, number: int) -> None:
        """Mark a batch recorded; the cursor stays below unrecorded batches."""
        if number not in self.unrecorded:
            return
        self.unrecorded.discard(number)
        self.recorded.add(number)
        first = min(self.unrecorded, default=self.submitted + 1)
        covered = {batch for batch in self.recorded if batch < first}
        self.recorded -= covered
        self.cursor = max(covered, default=self.cursor)
