"""Messages by which processes report to the leader and ask it."""

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
    """Change of the voters that an operator asks for."""

    add = 'add'
    remove = 'remove'
    transfer = 'transfer'


@frozen
class ProcessVersion:
    """Revision that a process has in force; -1 if it was not heard."""

    process: ProcessId
    zone: ZoneName
    voter: VoterId
    revision: int


@frozen
class VersionReport(PeerMessage):
    """Revision in force, reported to the leader."""

    kind: ClassVar[str] = 'version_report'

    version: ProcessVersion


@frozen
class VersionsRequest(PeerMessage):
    """Request for the revisions of all processes."""

    kind: ClassVar[str] = 'versions_request'

    number: int


@frozen
class VersionsAnswer(PeerMessage):
    """Revisions of all processes as the leader heard them."""

    kind: ClassVar[str] = 'versions_answer'

    number: int
    versions: tuple[ProcessVersion, ...]


@frozen
class VoterChangeRequest(PeerMessage):
    """Change of the voters, for the leader."""

    kind: ClassVar[str] = 'voter_change_request'

    number: int
    action: VoterAction
    voter: VoterId


@frozen
class VoterChangeAnswer(PeerMessage):
    """Result code of a change of the voters; 0 if it began."""

    kind: ClassVar[str] = 'voter_change_answer'

    number: int
    reason: str
