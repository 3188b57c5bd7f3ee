"""Events of the replicated log."""

from collections.abc import Mapping

from attrs import frozen

from hornbeamstair_core.events import Event, EventLevel, register_event

__all__ = (
    'LeaderCallLateEvent',
    'LeaderChangedEvent',
    'LogLoadEvent',
    'LogOpenedEvent',
    'PeerRefusedEvent',
    'SnapshotWrittenEvent',
    'StorageFailedEvent',
    'TornTailCutEvent',
    'VotersChangeEvent',
)


@register_event
@frozen
class LogOpenedEvent(Event):
    """Log read at the start of the process."""

    number = 5001
    name = 'log_opened'
    summary = 'A replicated log was read from disk.'

    group: str
    snapshot_index: int
    entry_count: int


@register_event
@frozen
class TornTailCutEvent(Event):
    """Incomplete record cut from the end of the log."""

    number = 5002
    name = 'torn_tail_cut'
    summary = 'An incomplete record at the end of the log was cut off.'
    level = EventLevel.warning

    path: str
    offset: int


@register_event
@frozen
class StorageFailedEvent(Event):
    """Write or sync that the disk refused."""

    number = 5003
    name = 'storage_failed'
    summary = 'The disk refused a write or sync; the voter stops.'
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
    # Time that the loop spent on encoding and writing it.
    spent_ms: int


@register_event
@frozen
class LeaderChangedEvent(Event):
    """Leader of a group as this process knows it."""

    number = 5005
    name = 'leader_changed'
    summary = 'The group has another leader, or none.'

    group: str
    leader: str
    term: int


@register_event
@frozen
class PeerRefusedEvent(Event):
    """Process without the shared key."""

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
    # Voters that are taken for lost, and processes that could take a place.
    lost: str
    spares: str
    # Time since this leader began to feed the voter.
    fed_ms: int


@register_event
@frozen
class LogLoadEvent(Event):
    """Entries and syncs of a log in about a second."""

    number = 5008
    name = 'log_load'
    summary = 'Entries and syncs of the log, and the time that syncs took.'

    group: str
    entries: int
    syncs: int
    sync_ms: int
    span_ms: int


@register_event
@frozen
class LeaderCallLateEvent(Event):
    """Request that the leader answered late, or not at all."""

    number = 5009
    name = 'leader_call_late'
    summary = (
        'A request to the leader took long or had no sure answer, and why.'
    )

    request: str
    subject: str
    outcome: str
    age_ms: int
    attempts: int
    last_target: str
    # Since any answer of a leader.
    silent_ms: int
    # Time of the attempts by what became of them.
    waited: Mapping[str, int]
