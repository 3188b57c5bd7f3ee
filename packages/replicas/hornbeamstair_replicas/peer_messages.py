"""Messages between the processes of the system."""

from abc import ABC
from typing import ClassVar

from attrs import frozen

from hornbeamstair_replicas.messages import LogEntry, Snapshot, VoterId

__all__ = (
    'Envelope',
    'FeedAnswer',
    'FeedRequest',
    'ForwardAnswer',
    'ForwardRequest',
    'PeerMessage',
)


@frozen
class PeerMessage(ABC):
    """Message from one process to another."""

    kind: ClassVar[str]


@frozen
class ForwardRequest(PeerMessage):
    """Payload that a process forwards to the leader to be proposed."""

    kind: ClassVar[str] = 'forward_request'

    number: int
    payload: bytes


@frozen
class ForwardAnswer(PeerMessage):
    """Log position of a forwarded payload; index 0 if it was refused."""

    kind: ClassVar[str] = 'forward_answer'

    number: int
    index: int
    term: int


@frozen
class FeedRequest(PeerMessage):
    """Request of a learner for the entries after its applied index."""

    kind: ClassVar[str] = 'feed_request'

    applied_index: int


@frozen
class FeedAnswer(PeerMessage):
    """Committed entries after an index, with a snapshot if needed."""

    kind: ClassVar[str] = 'feed_answer'

    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]
    applied_index: int
    leader: VoterId
    voters: tuple[VoterId, ...]


@frozen
class Envelope:
    """Message with its group, sender and receiver."""

    group: str
    sender: VoterId
    receiver: VoterId
    message: PeerMessage
