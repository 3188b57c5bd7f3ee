"""Messages between voters."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_replicas.messages import LogEntry, VoterId
from hornbeamstair_replicas.peer_messages import PeerMessage

__all__ = (
    'AppendAnswer',
    'AppendRequest',
    'SnapshotAnswer',
    'SnapshotChunk',
    'TransferRequest',
    'VoteAnswer',
    'VoteRequest',
    'VoterMessage',
)


@frozen
class VoterMessage(PeerMessage):
    """Message of a voter in a term."""

    term: int


@frozen
class VoteRequest(VoterMessage):
    """Request for a vote; a pre-vote changes no term."""

    kind: ClassVar[str] = 'vote_request'

    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool = False


@frozen
class VoteAnswer(VoterMessage):
    """Answer to a request for a vote."""

    kind: ClassVar[str] = 'vote_answer'

    is_granted: bool
    is_pre_vote: bool


@frozen
class AppendRequest(VoterMessage):
    """Entries that follow a known one, or none as a heartbeat."""

    kind: ClassVar[str] = 'append_request'

    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: float


@frozen
class AppendAnswer(VoterMessage):
    """Answer to entries: the last that matches, or where to try."""

    kind: ClassVar[str] = 'append_answer'

    is_success: bool
    match_index: int
    sent_at: float


@frozen
class SnapshotChunk(VoterMessage):
    """Part of a snapshot for a voter that is far behind."""

    kind: ClassVar[str] = 'snapshot_chunk'

    snapshot_index: int
    snapshot_term: int
    voters: tuple[VoterId, ...]
    offset: int
    chunk: bytes
    is_last: bool
    sent_at: float


@frozen
class SnapshotAnswer(VoterMessage):
    """Answer to a part of a snapshot: the offset wanted next."""

    kind: ClassVar[str] = 'snapshot_answer'

    snapshot_index: int
    next_offset: int
    is_installed: bool
    sent_at: float


@frozen
class TransferRequest(VoterMessage):
    """Request to stand for election at once."""

    kind: ClassVar[str] = 'transfer_request'
