"""What one connection of a client holds and is due to send."""

from collections import deque
from enum import Enum
from typing import Final

from attrs import define, field

from hornbeamstair_core.clients.causes import Cause
from hornbeamstair_core.clients.limits import ClientLimits
from hornbeamstair_core.units import KIB

__all__ = ('ClientConnection', 'Phase')

# Objects held for a request with its task and for a line of its head, rounded
# up: tracemalloc shows 2.1 KiB without a task, and 150 bytes.
_REQUEST_COST: Final = 6 * KIB
_LINE_COST: Final = 192


class Phase(Enum):
    """Part of a request that a connection sends next."""

    lead = 'lead'
    head = 'head'
    body = 'body'


@define(eq=False)
class ClientConnection:
    """Accounting of one connection."""

    client: str
    # Time of the last byte; of the first one while a head is sent.
    progressed_at: float
    phase: Phase = Phase.lead
    # Bytes since the phase began, or since the last piece of a body.
    phase_bytes: int = 0
    body_bytes: int = 0
    lines: int = 0
    # Bytes held for each request that is not answered, the latest last.
    held: deque[int] = field(factory=deque)
    unread_bytes: int = 0
    unread_since: float = 0
    refusal: Cause | None = None
    # Whether a phase, or a piece of a body, began in the bytes parsed last.
    has_moved: bool = False

    @property
    def held_bytes(self) -> int:
        """Bytes held for the client in both directions."""
        return sum(self.held) + self.unread_bytes

    @property
    def is_unanswered(self) -> bool:
        """Whether a complete request waits for its answer."""
        receiving = 0 if self.phase is Phase.lead else 1
        return len(self.held) > receiving

    @property
    def is_evictable(self) -> bool:
        """Whether no request or answer is lost without the client's part."""
        is_stuck = self.unread_bytes > 0
        return self.refusal is None and (is_stuck or not self.is_unanswered)

    def begin_request(self, now: float) -> None:
        """Begin a request with its first byte."""
        self._move_to(Phase.head)
        self.lines = 0
        self.progressed_at = now
        self.held.append(_REQUEST_COST)

    def begin_body(self) -> None:
        """Begin the body after the end of the head."""
        self._move_to(Phase.body)
        self.body_bytes = 0

    def add_body(self, size: int) -> None:
        """Add a piece of a body."""
        self.body_bytes += size
        self._move_to(Phase.body)

    def end_request(self, now: float) -> None:
        """End the request that was received."""
        self._move_to(Phase.lead)
        self.progressed_at = now

    def end_answer(self, now: float) -> None:
        """End the answer to the oldest request."""
        if self.held:
            self.held.popleft()
        if self.phase is Phase.lead and not self.phase_bytes:
            self.progressed_at = now

    def add_bytes(self, size: int, lines: int, now: float) -> None:
        """Add bytes of the current phase after they were parsed."""
        is_first = self.phase is Phase.lead and not self.phase_bytes
        if is_first or self.phase is Phase.body:
            self.progressed_at = now
        if self.has_moved:
            self.has_moved = False
        else:
            self.phase_bytes += size
        if self.held:
            # An answer may end before the rest of its request is received.
            self.held[-1] += size + (lines - self.lines) * _LINE_COST
            self.lines = lines

    def refuse(self, cause: Cause) -> None:
        """Note that the connection is closed as soon as it may be."""
        self.refusal = cause
        self.held.clear()
        self.unread_bytes = 0

    def find_excess(self, limits: ClientLimits) -> Cause | None:
        """Find a limit that the current request exceeds."""
        match self.phase:
            case Phase.lead if self.phase_bytes > limits.lead_bytes:
                return Cause.lead
            case Phase.head if self.phase_bytes > limits.head_bytes:
                return Cause.head
            case Phase.body if self.body_bytes > limits.body_bytes:
                return Cause.body
            case Phase.body if self.phase_bytes > limits.trailer_bytes:
                return Cause.trailer
        return None

    def find_lateness(self, limits: ClientLimits, now: float) -> Cause | None:
        """Find a time in which the client has not done its part."""
        if self.unread_bytes:
            is_late = now - self.unread_since > limits.unread_seconds
            return Cause.unread_time if is_late else None
        waited = now - self.progressed_at
        if self.phase is Phase.body:
            return Cause.body_time if waited > limits.body_seconds else None
        has_begun = self.phase is Phase.head or self.phase_bytes > 0
        if has_begun and waited > limits.head_seconds:
            return Cause.head_time
        return None

    def _move_to(self, phase: Phase) -> None:
        self.phase = phase
        self.phase_bytes = 0
        self.has_moved = True
