"""CBOR codec of the messages between processes."""

from typing import Final

from cattrs import BaseValidationError
from cbor2 import CBORDecodeError
from expression import Error, Ok, Result

from hornbeamstair_core.codec import make_union_converter
from hornbeamstair_core.failures import Failure, UnreadablePayloadFailure
from hornbeamstair_replicas.admin_messages import (
    VersionReport,
    VersionsAnswer,
    VersionsRequest,
    VoterChangeAnswer,
    VoterChangeRequest,
)
from hornbeamstair_replicas.calls.messages import (
    LeaderAnswer,
    LeaderCall,
    MemberReport,
    RelayedAnswers,
    RelayedOrders,
)
from hornbeamstair_replicas.peer_messages import (
    Envelope,
    FeedAnswer,
    FeedRequest,
    ForwardAnswer,
    ForwardRequest,
    PeerMessage,
)
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
    TransferRequest,
    VoteAnswer,
    VoteRequest,
)

__all__ = ('decode_envelope', 'encode_envelope')

_DECODE_ERRORS: Final = (
    BaseValidationError,
    CBORDecodeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)
_converter: Final = make_union_converter(
    PeerMessage,
    (
        AppendAnswer,
        AppendRequest,
        FeedAnswer,
        FeedRequest,
        ForwardAnswer,
        ForwardRequest,
        LeaderAnswer,
        LeaderCall,
        MemberReport,
        RelayedAnswers,
        RelayedOrders,
        SnapshotAnswer,
        SnapshotChunk,
        TransferRequest,
        VersionReport,
        VersionsAnswer,
        VersionsRequest,
        VoteAnswer,
        VoterChangeAnswer,
        VoterChangeRequest,
        VoteRequest,
    ),
)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope."""
    return _converter.dumps(envelope)


def decode_envelope(payload: bytes) -> Result[Envelope, Failure]:
    """Decode an envelope."""
    try:
        return Ok(_converter.loads(payload, Envelope))
    except _DECODE_ERRORS as error:
        return Error(UnreadablePayloadFailure(reason=repr(error)))
