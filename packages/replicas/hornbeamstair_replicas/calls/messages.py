"""Messages between any process and the leader of a replication group."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import PeerMessage

__all__ = (
    'LeaderAnswer',
    'LeaderCall',
    'MemberReport',
    'RelayedAnswers',
    'RelayedOrders',
)


@frozen
class LeaderCall(PeerMessage):
    """Call that only the leader handles; an empty payload is a probe."""

    kind: ClassVar[str] = 'leader_call'

    number: int
    payload: bytes


@frozen
class LeaderAnswer(PeerMessage):
    """Answer of the leader, or of another voter with the leader it knows."""

    kind: ClassVar[str] = 'leader_answer'

    number: int
    payload: bytes
    is_leader: bool
    leader: VoterId
    voters: tuple[VoterId, ...]


@frozen
class MemberReport(PeerMessage):
    """Report of a process that can become a voter."""

    kind: ClassVar[str] = 'member_report'

    voter: VoterId
    zone: ZoneName
    # Whether it sends orders to workers for the leader; an earlier version
    # does not.
    is_relay: bool = False
    # Time of the report on the steady clock of its process, in seconds; an
    # earlier version does not tell, and is not used as a relay.
    clock: float | None = None
    # Time on that clock at which the process joined; it differs after a
    # restart, with which the clock may begin anew.
    joined_at: float = 0


@frozen
class RelayedOrders(PeerMessage):
    """Batch of orders to workers that the receiver sends for the leader."""

    kind: ClassVar[str] = 'relayed_orders'

    payload: bytes


@frozen
class RelayedAnswers(PeerMessage):
    """Batch of answers of workers to relayed orders."""

    kind: ClassVar[str] = 'relayed_answers'

    payload: bytes
