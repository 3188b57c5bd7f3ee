"""Numbers by which one life of a worker counts the ends of its runs."""

from attrs import define, field

__all__ = ('EndNumbers',)


@define(eq=False)
class EndNumbers:
    """Ends listed by a worker, handed over to be recorded, and recorded.

    Ends are handed over in batches, each named by its highest number.
    Batches may be recorded in another order than they were handed over.
    """

    # Highest number of an end that a look listed.
    seen: int = 0
    # Highest number of an end that was handed over to be recorded.
    handed: int = 0
    # The worker may forget the ends up to this one.
    cursor: int = 0
    unrecorded: set[int] = field(factory=set)
    recorded: set[int] = field(factory=set)

    def is_recorded(self) -> bool:
        """Tell whether all that was listed is recorded."""
        return self.seen <= self.cursor

    def hand_over(self) -> int:
        """Hand what is new over; return its highest number, 0 if none."""
        if self.seen <= self.handed:
            return 0
        self.handed = self.seen
        self.unrecorded.add(self.handed)
        return self.handed

    def note_recorded(self, number: int) -> None:
        """Note that a batch is recorded; pass over no earlier one."""
        if number not in self.unrecorded:
            return
        self.unrecorded.discard(number)
        self.recorded.add(number)
        first = min(self.unrecorded, default=self.handed + 1)
        covered = {found for found in self.recorded if found < first}
        self.recorded -= covered
        self.cursor = max(covered, default=self.cursor)
