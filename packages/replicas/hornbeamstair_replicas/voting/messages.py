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
    """Message that carries the term of its sender."""

    term: int


@frozen
class VoteRequest(VoterMessage):
    """Request for a vote; a pre-vote leaves the term unchanged."""

    kind: ClassVar[str] = 'vote_request'

    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool = False


@frozen
class VoteAnswer(VoterMessage):
    """Answer to `VoteRequest`."""

    kind: ClassVar[str] = 'vote_answer'

    is_granted: bool
    is_pre_vote: bool


@frozen
class AppendRequest(VoterMessage):
    """Entries to append after a known one; a heartbeat has none."""

    kind: ClassVar[str] = 'append_request'

    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: float


@frozen
class AppendAnswer(VoterMessage):
    """Answer to `AppendRequest`.

    On success `match_index` is the last index that matches the leader's log;
    on failure the leader should retry with the entries after it.
    """

    kind: ClassVar[str] = 'append_answer'

    is_success: bool
    match_index: int
    sent_at: float


@frozen
class SnapshotChunk(VoterMessage):
    """Chunk of a snapshot for a peer that needs compacted entries."""

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
    """Answer to `SnapshotChunk` with the offset expected next."""

    kind: ClassVar[str] = 'snapshot_answer'

    snapshot_index: int
    next_offset: int
    is_installed: bool
    sent_at: float


@frozen
class TransferRequest(VoterMessage):
    """Request to start an election at once (leadership transfer)."""

    kind: ClassVar[str] = 'transfer_request'
