"""Message on its way to another process."""

from attrs import define, field

__all__ = ('Posting',)


@define(eq=False)
class Posting:
    """Queued message that can be withdrawn until it is written."""

    payload: bytes = b''
    # Whether any byte of the message may have been written.
    is_written: bool = False
    is_withdrawn: bool = field(default=False, init=False)

    def begin_write(self) -> bool:
        """Return whether to write the message, and mark it as written."""
        self.is_written = self.is_written or not self.is_withdrawn
        return not self.is_withdrawn

    def withdraw(self) -> bool:
        """Withdraw the message; return whether it certainly was not sent."""
        self.is_withdrawn = True
        return not self.is_written
