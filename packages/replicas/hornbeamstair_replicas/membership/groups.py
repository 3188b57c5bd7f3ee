"""Reports of processes that can vote, and the leader's changes."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from typing import Final

from attrs import define

from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.calls.endpoints.channel import LeaderChannel
from hornbeamstair_replicas.calls.messages import MemberReport
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.membership.leading import lead_members
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('MembershipKeeper',)

_CHANNEL: Final = 'members'
_REPORT_SECONDS: Final = 0.5
# A change takes two steps, and a process that starts waits for both.
_LEAD_SECONDS: Final = 0.1
_ASK_SECONDS: Final = 0.4


@define(eq=False)
class MembershipKeeper:
    """Endpoint that keeps the voters of a group alive."""

    group: VotingGroup
    channel: LeaderChannel
    zone: ZoneName
    get_time: Callable[[], float]
    planner: MembershipPlanner
    reporting: 'Task[None] | None' = None

    def start(self) -> None:
        """Report to the leader, or plan changes as the leader."""
        self.group.transport.add_receiver(_CHANNEL, self._receive)
        self.reporting = create_task(self._keep_reporting())

    def stop(self) -> None:
        """Report no more."""
        if self.reporting is not None:
            self.reporting.cancel()

    async def _keep_reporting(self) -> None:
        while True:
            role = self.group.node.voter.find_leader_role()
            if role.is_ok():
                self._lead(role.ok)
                await sleep(_LEAD_SECONDS)
            else:
                await self._report()
                await sleep(_REPORT_SECONDS)

    async def _report(self) -> None:
        state = self.group.node.voter.state
        leader = state.get_recent_leader(self.get_time())
        if not leader:
            await self.channel.ask(b'', _ASK_SECONDS)
            leader = self.channel.targets.leader
        if leader:
            report = MemberReport(state.voter, self.zone)
            self.group.transport.send(
                Envelope(_CHANNEL, state.voter, leader, report),
            )

    def _receive(self, sender: VoterId, message: PeerMessage) -> None:
        if isinstance(message, MemberReport):
            now = self.get_time()
            self.planner.record_report(message.voter, message.zone, now)

    def _lead(self, role: LeaderRole) -> None:
        event = lead_members(role, self.planner, self.zone, self.get_time())
        if event is not None:
            log_event(event)
            self.group.find_leading_role()
