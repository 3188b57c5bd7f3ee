"""Status reports of processes to the leader and membership requests."""

from asyncio import Future, TimerHandle, get_running_loop, timeout
from collections.abc import Callable
from typing import Any, Final

from attrs import define, field
from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.admin_messages import (
    ProcessVersion,
    VersionReport,
    VersionsAnswer,
    VersionsRequest,
    VoterAction,
    VoterChangeAnswer,
    VoterChangeRequest,
)
from hornbeamstair_replicas.call_numbers import CallNumbers
from hornbeamstair_replicas.failures import (
    MembershipFailure,
    NotCommittedFailure,
    NotLeaderFailure,
)
from hornbeamstair_replicas.groups.base import ReplicaGroup
from hornbeamstair_replicas.learning.members import Member
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_replicas.voter_ids import get_address
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('GroupAdmin',)

_CHANNEL: Final = 'admin'
_REPORT_INTERVAL_SECONDS: Final = 1.0
_REPORT_EXPIRY_SECONDS: Final = 5.0
_ANSWER_TIMEOUT_SECONDS: Final = 2.0
_UNKNOWN_REVISION: Final = -1


@define(eq=False)
class GroupAdmin:
    """Collects process versions on the leader and changes the voters.

    Every process reports its revision in force to the leader at a fixed
    interval. Requests of operators are passed on to the leader.
    """

    own: Member
    members: tuple[Member, ...]
    group: ReplicaGroup
    transport: PeerTransport
    get_revision: Callable[[], int]
    get_time: Callable[[], float]
    reports: dict[ProcessId, tuple[float, ProcessVersion]] = field(factory=dict)
    # Requests to the leader without an answer, by number.
    waiting: dict[int, 'Future[Any]'] = field(factory=dict)
    numbers: CallNumbers = field(factory=CallNumbers)
    timer: TimerHandle | None = None

    def start(self) -> None:
        """Start reporting to the leader."""
        self.transport.add_receiver(_CHANNEL, self._handle_message)
        self._report()

    def stop(self) -> None:
        """Stop reporting."""
        if self.timer is not None:
            self.timer.cancel()

    async def list_processes(
        self,
    ) -> Result[tuple[ProcessVersion, ...], Failure]:
        """List the revision in force on each process."""
        if self.group.find_leader_role().is_ok():
            return Ok(self._get_versions())
        answer = await self._ask(VersionsRequest)
        if answer is None:
            return Error(NotLeaderFailure(self._get_leader()))
        return Ok(answer.versions)

    async def change_voters(
        self,
        action: VoterAction,
        voter: VoterId,
    ) -> Result[None, Failure]:
        """Add or remove a voter, or transfer the leadership to it."""
        if self.group.find_leader_role().is_ok():
            return self._change(action, voter)
        if not self._get_leader():
            return Error(NotLeaderFailure(''))
        answer = await self._ask(VoterChangeRequest, action, voter)
        if answer is None:
            return Error(NotCommittedFailure('the leader did not answer'))
        if answer.reason:
            return Error(MembershipFailure(answer.reason))
        return Ok(None)

    def _report(self) -> None:
        version = self._get_own_version()
        self.reports[version.process] = (self.get_time(), version)
        leader = self._get_leader()
        if leader not in {'', self.transport.own}:
            self._send(leader, VersionReport(version))
        loop = get_running_loop()
        self.timer = loop.call_later(_REPORT_INTERVAL_SECONDS, self._report)

    def _get_own_version(self) -> ProcessVersion:
        return ProcessVersion(
            self.own.process,
            self.own.zone,
            self.transport.own,
            self.get_revision(),
        )

    def _get_versions(self) -> tuple[ProcessVersion, ...]:
        oldest = self.get_time() - _REPORT_EXPIRY_SECONDS
        versions = {
            member.process: ProcessVersion(
                member.process,
                member.zone,
                get_address(member.process),
                _UNKNOWN_REVISION,
            )
            for member in self.members
        }
        for process, (reported_at, version) in self.reports.items():
            if reported_at >= oldest:
                versions[process] = version
        versions[self.own.process] = self._get_own_version()
        return tuple(versions[process] for process in sorted(versions))

    def _get_leader(self) -> VoterId:
        return VoterId(self.group.get_status().leader)

    async def _ask(
        self,
        request_class: Callable[..., PeerMessage],
        *fields: object,
    ) -> Any:
        """Ask the leader; None if it does not answer in time."""
        leader = self._get_leader()
        number = self.numbers.take()
        answer: Future[Any] = get_running_loop().create_future()
        self.waiting[number] = answer
        self._send(leader, request_class(number, *fields))
        try:
            async with timeout(_ANSWER_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(number)

    def _handle_message(self, sender: VoterId, message: PeerMessage) -> None:
        match message:
            case VersionReport(version):
                self.reports[version.process] = (self.get_time(), version)
            case VersionsRequest(number):
                versions = self._get_versions()
                self._send(sender, VersionsAnswer(number, versions))
            case VoterChangeRequest(number, action, voter):
                outcome = self._change(action, voter)
                reason = outcome.error.describe() if outcome.is_error() else ''
                self._send(sender, VoterChangeAnswer(number, reason))
            case VersionsAnswer(number) | VoterChangeAnswer(number):
                answer = self.waiting.get(number)
                if answer is not None and not answer.done():
                    answer.set_result(message)

    def _change(
        self,
        action: VoterAction,
        voter: VoterId,
    ) -> Result[None, Failure]:
        return self.group.find_leader_role().bind(
            lambda role: _apply_change(role, action, voter, self.get_time()),
        )

    def _send(self, receiver: VoterId, message: PeerMessage) -> None:
        own = self.transport.own
        self.transport.send(Envelope(_CHANNEL, own, receiver, message))


def _apply_change(
    role: LeaderRole,
    action: VoterAction,
    voter: VoterId,
    now: float,
) -> Result[None, Failure]:
    match action:
        case VoterAction.add:
            return role.add_voter(voter, now)
        case VoterAction.remove:
            return role.remove_voter(voter, now)
        case VoterAction.transfer:
            return role.transfer(voter, now)
