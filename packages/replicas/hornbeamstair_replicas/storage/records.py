"""Encoding of stored records: length, CRC-32 and CBOR body."""

from collections.abc import Iterator
from struct import Struct
from typing import Final
from zlib import crc32

from attrs import frozen

from hornbeamstair_core.codec import decode_cbor, encode_cbor
from hornbeamstair_replicas.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    VoteRecord,
    VoterId,
)
from hornbeamstair_replicas.storage.base import LogCorruptedError

__all__ = (
    'DamagedRecord',
    'StoredRecord',
    'TruncationRecord',
    'decode_records',
    'decode_snapshot',
    'encode_entry_record',
    'encode_snapshot_record',
    'encode_truncation_record',
    'encode_vote_record',
)

_HEADER: Final = Struct('>II')
_ENTRY_KIND: Final = 0
_VOTE_KIND: Final = 1
_TRUNCATION_KIND: Final = 2


@frozen
class TruncationRecord:
    """Removal of all entries from an index on."""

    first_index: int


StoredRecord = LogEntry | VoteRecord | TruncationRecord


@frozen
class DamagedRecord:
    """Record with a wrong checksum or length."""

    offset: int
    is_at_end: bool


def encode_entry_record(entry: LogEntry) -> bytes:
    """Encode a log entry."""
    fields = [
        _ENTRY_KIND,
        entry.index,
        entry.term,
        entry.payload,
        entry.kind.value,
        entry.voters,
    ]
    return _encode_frame(encode_cbor(fields))


def encode_vote_record(vote: VoteRecord) -> bytes:
    """Encode a term and the vote cast in it."""
    return _encode_frame(encode_cbor([_VOTE_KIND, vote.term, vote.voted_for]))


def encode_truncation_record(first_index: int) -> bytes:
    """Encode the removal of all entries from an index on."""
    return _encode_frame(encode_cbor([_TRUNCATION_KIND, first_index]))


def encode_snapshot_record(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    fields = [snapshot.index, snapshot.term, snapshot.state, snapshot.voters]
    return _encode_frame(encode_cbor(fields))


def decode_snapshot(content: bytes) -> Snapshot:
    """Decode a snapshot; LogCorruptedError if it is damaged."""
    body = _decode_body(content, 0)
    if body is None:
        raise LogCorruptedError('the snapshot is damaged')
    index, term, state, voters = decode_cbor(body)
    return Snapshot(index, term, state, tuple(voters))


def decode_records(content: bytes) -> Iterator[StoredRecord | DamagedRecord]:
    """Decode records in order; stop after the first damaged record."""
    offset = 0
    while offset < len(content):
        body = _decode_body(content, offset)
        if body is None:
            yield DamagedRecord(offset, _is_at_end(content, offset))
            return
        yield _decode_record(body)
        offset += _HEADER.size + len(body)


def _encode_frame(body: bytes) -> bytes:
    return _HEADER.pack(len(body), crc32(body)) + body


def _decode_body(content: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if len(content) < start:
        return None
    length, checksum = _HEADER.unpack_from(content, offset)
    body = content[start : start + length]
    if not body or len(body) < length or crc32(body) != checksum:
        return None
    return body


def _is_at_end(content: bytes, offset: int) -> bool:
    """Return whether no intact record follows a damaged one."""
    start = offset + _HEADER.size
    if len(content) < start:
        return True
    length = int(_HEADER.unpack_from(content, offset)[0])
    if not length:
        return not any(content[offset:])
    if start + length < len(content):
        return False
    # A damaged length field must not hide intact records after it.
    return not any(
        _decode_body(content, later) for later in range(start, len(content))
    )


def _decode_record(body: bytes) -> StoredRecord:
    kind, *fields = decode_cbor(body)
    if kind == _ENTRY_KIND:
        return _decode_entry(*fields)
    if kind == _VOTE_KIND:
        return VoteRecord(*fields)
    if kind == _TRUNCATION_KIND:
        return TruncationRecord(*fields)
    raise LogCorruptedError(f'record kind {kind!r} is unknown')


def _decode_entry(
    index: int,
    term: int,
    payload: bytes,
    kind: int,
    voters: list[VoterId],
) -> LogEntry:
    return LogEntry(index, term, payload, EntryKind(kind), tuple(voters))
