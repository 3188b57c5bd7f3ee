"""Events of the replicated log and its transport."""

from collections.abc import Mapping

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'LeaderCallLateEvent',
    'LeaderChangedEvent',
    'LeaderUnknownEvent',
    'LogLoadEvent',
    'LogOpenedEvent',
    'MessageTooLargeEvent',
    'PeerRefusedEvent',
    'RecordRefusedEvent',
    'SnapshotWrittenEvent',
    'StorageFailedEvent',
    'StorageFailingEvent',
    'StorageReopenedEvent',
    'TornTailCutEvent',
    'VotersChangeEvent',
)


@register_event
@frozen
class LogOpenedEvent(Event):
    """Replicated log that was read at the start of the process."""

    number = 5001
    name = 'log_opened'
    summary = 'A replicated log was read from disk.'

    group: str
    snapshot_index: int
    entry_count: int


@register_event
@frozen
class TornTailCutEvent(Event):
    """Incomplete record truncated at the end of the log."""

    number = 5002
    name = 'torn_tail_cut'
    summary = 'An incomplete record at the end of the log was truncated.'
    level = EventLevel.warning

    path: str
    offset: int


@register_event
@frozen
class StorageFailedEvent(Event):
    """Failed write or sync of the storage."""

    number = 5003
    name = 'storage_failed'
    summary = 'A write or sync to disk failed; the voter takes no part.'
    level = EventLevel.error

    group: str
    reason: str


@register_event
@frozen
class SnapshotWrittenEvent(Event):
    """Snapshot that replaced older entries."""

    number = 5004
    name = 'snapshot_written'
    summary = 'A snapshot was written and older entries were removed.'

    group: str
    index: int
    size_bytes: int
    # Time for which encoding and writing it blocked the event loop.
    spent_ms: int


@register_event
@frozen
class LeaderChangedEvent(Event):
    """Change of the leader of a group as seen by this process."""

    number = 5005
    name = 'leader_changed'
    summary = 'The leader of the group changed or is not known.'

    group: str
    leader: str
    term: int


@register_event
@frozen
class PeerRefusedEvent(Event):
    """Process that failed the handshake."""

    number = 5006
    name = 'peer_refused'
    summary = 'A process did not prove that it knows the shared key.'
    level = EventLevel.warning

    peer: str


@register_event
@frozen
class VotersChangeEvent(Event):
    """Change of the voters that the leader began."""

    number = 5007
    name = 'voters_change'
    summary = 'The leader began to change the voters.'

    change: str
    voter: str
    refusal: str
    voters: int
    # Unreachable voters, and non-voters that could replace them.
    lost: str
    spares: str
    # Time since this leader began to replicate to the voter.
    fed_ms: int


@register_event
@frozen
class LogLoadEvent(Event):
    """Load of a log over an interval of about one second."""

    number = 5008
    name = 'log_load'
    summary = 'Entries and syncs of the log, and the total time of the syncs.'

    group: str
    entries: int
    syncs: int
    sync_ms: int
    span_ms: int


@register_event
@frozen
class LeaderCallLateEvent(Event):
    """Request to the leader that was slow or had no definite answer."""

    number = 5009
    name = 'leader_call_late'
    summary = (
        'A request to the leader was slow or had no definite answer, and why.'
    )

    request: str
    subject: str
    outcome: str
    age_ms: int
    attempts: int
    last_target: str
    # Time since the last answer of a leader to any call.
    silent_ms: int
    # Time spent on attempts, by their result.
    waited: Mapping[str, int]


@register_event
@frozen
class RecordRefusedEvent(Event):
    """Committed record that the tables cannot apply."""

    number = 5010
    name = 'record_refused'
    summary = 'A committed record cannot be applied; every process refuses it.'
    level = EventLevel.error

    index: int
    record: str
    reason: str


@register_event
@frozen
class MessageTooLargeEvent(Event):
    """Message to another process that no process would receive."""

    number = 5011
    name = 'message_too_large'
    summary = 'A message is larger than other processes accept; not sent.'
    level = EventLevel.error

    message: str
    receiver: str
    size_bytes: int


@register_event
@frozen
class StorageReopenedEvent(Event):
    """Storage that accepts writes again after a failure."""

    number = 5012
    name = 'storage_reopened'
    summary = 'The disk accepts writes again; the voter takes part.'

    group: str
    # Time since the last failed write or sync.
    failed_ms: int


@register_event
@frozen
class StorageFailingEvent(Event):
    """Storage that has refused writes for a while."""

    number = 5013
    name = 'storage_failing'
    summary = 'The disk still refuses writes; the voter takes no part.'
    level = EventLevel.error

    group: str
    reason: str
    # Time since the failed write or sync.
    failed_ms: int


@register_event
@frozen
class LeaderUnknownEvent(Event):
    """Group of which a process has known no leader for a while."""

    number = 5014
    name = 'leader_unknown'
    summary = 'No leader of the group has been known for some seconds.'
    level = EventLevel.warning

    group: str
    term: int
    unknown_ms: int
