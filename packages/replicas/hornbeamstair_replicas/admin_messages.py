"""Messages of version reports and voter changes."""

from enum import Enum
from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import ProcessId, ZoneName
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import PeerMessage

__all__ = (
    'ProcessVersion',
    'VersionReport',
    'VersionsAnswer',
    'VersionsRequest',
    'VoterAction',
    'VoterChangeAnswer',
    'VoterChangeRequest',
)


class VoterAction(Enum):
    """Change of the voters that an operator requests."""

    add = 'add'
    remove = 'remove'
    transfer = 'transfer'


@frozen
class ProcessVersion:
    """Revision in force on a process; -1 without a recent report."""

    process: ProcessId
    zone: ZoneName
    voter: VoterId
    revision: int


@frozen
class VersionReport(PeerMessage):
    """Report of the revision in force on the sender to the leader."""

    kind: ClassVar[str] = 'version_report'

    version: ProcessVersion


@frozen
class VersionsRequest(PeerMessage):
    """Request to the leader for the revisions of all processes."""

    kind: ClassVar[str] = 'versions_request'

    number: int


@frozen
class VersionsAnswer(PeerMessage):
    """Revisions of all processes as last reported to the leader."""

    kind: ClassVar[str] = 'versions_answer'

    number: int
    versions: tuple[ProcessVersion, ...]


@frozen
class VoterChangeRequest(PeerMessage):
    """Request to the leader to change the voters."""

    kind: ClassVar[str] = 'voter_change_request'

    number: int
    action: VoterAction
    voter: VoterId


@frozen
class VoterChangeAnswer(PeerMessage):
    """Reason why a change of the voters was refused; empty if it began."""

    kind: ClassVar[str] = 'voter_change_answer'

    number: int
    reason: str
